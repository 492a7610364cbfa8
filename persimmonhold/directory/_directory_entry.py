"""The answer to `GET /v1/entries`."""

from typing import final

import msgspec


@final
class DirectoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """The address of an entry to which callers may send requests.

    A caller chooses the entry with a probability proportional to `weight`.
    """

    address: str
    failure_domain: str
    weight: float


@final
class DirectoryResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The entries in order of preference, valid for `ttl_s` seconds.

    `revision` is the index of the control view that they come from.
    """

    revision: int
    ttl_s: float
    entries: tuple[DirectoryEntry, ...]
