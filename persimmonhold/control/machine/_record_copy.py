"""The command that records the state of a copy."""

from typing import final

import msgspec

from persimmonhold.messages import Copy


@final
class RecordCopy(msgspec.Struct, frozen=True, kw_only=True, tag='record_copy'):
    """Adds a copy to the view or changes its state; `gone` removes it."""

    at_ms: int
    copy: Copy
    gone: bool = False
