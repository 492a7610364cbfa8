"""A copy of a model or adapter on an upstream."""

from typing import final

import msgspec

from persimmonhold.messages._copy_state import CopyState


@final
class Copy(msgspec.Struct, frozen=True, kw_only=True):
    """Where one version of a model or adapter is, and in which state.

    `memory_bytes` is what its load order reserved: the catalogue may say
    something else by now. `base` is the base model of an adapter.
    """

    target: str
    version: str
    upstream: str
    accelerator: str
    state: CopyState
    fence: int
    memory_bytes: int = 0
    base: str = ''
