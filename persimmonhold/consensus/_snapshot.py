"""A snapshot of the applied state, which replaces a prefix of the log."""

from typing import final

import msgspec

from persimmonhold.consensus._configuration import Configuration


@final
class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The encoded state after the entry at `index` was applied.

    `term` is the term of that entry, `configuration` the membership then.
    """

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    state: bytes = b''
