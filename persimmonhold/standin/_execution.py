"""The record of an executed call."""

from typing import final

import msgspec


@final
class Execution(msgspec.Struct, frozen=True, kw_only=True):
    """One execution of a call by a stand-in service."""

    request_id: str
    key: str
    path: str
