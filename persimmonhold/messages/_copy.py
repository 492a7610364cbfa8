"""A copy of a model or adapter on an upstream."""

from typing import final

import msgspec

from persimmonhold.messages._copy_state import CopyState


@final
class Copy(msgspec.Struct, frozen=True, kw_only=True):
    """One version of a model or adapter on an accelerator.

    `fence` is the fencing token of its load order and `memory_bytes` what that
    order reserved; the catalogue may have changed since. `base` is the base
    model of an adapter.
    """

    target: str
    version: str
    upstream: str
    accelerator: str
    state: CopyState
    fence: int
    memory_bytes: int = 0
    base: str = ''
