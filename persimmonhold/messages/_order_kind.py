"""The kinds of orders to engines."""

import enum
from typing import final


@final
@enum.unique
class OrderKind(enum.StrEnum):
    """The action that an order requests from an engine.

    This system sends only `load` and `unload`.
    """

    load = 'load'
    unload = 'unload'
    role = 'role'
    export_kv = 'export_kv'
    import_kv = 'import_kv'
