"""The state that replaces a prefix of the log."""

from typing import final

import msgspec

from persimmonhold.consensus._configuration import Configuration


@final
class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The applied state after the entry at `index`."""

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()
    state: bytes = b''
