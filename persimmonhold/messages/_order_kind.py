"""What an engine is ordered to do."""

import enum
from typing import final


@final
@enum.unique
class OrderKind(enum.StrEnum):
    """The orders that an engine takes."""

    load = 'load'
    unload = 'unload'
    role = 'role'
    export_kv = 'export_kv'
    import_kv = 'import_kv'
