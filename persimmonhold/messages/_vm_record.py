"""A VM of the system, as the control state knows it."""

from typing import final

import msgspec


@final
class VmRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A VM: its addresses (`ip:port`, empty without that role) and state.

    `draining` takes it out of the directory of entries. `incarnation`
    changes with each start of the process.
    """

    name: str
    failure_domain: str
    callers: str = ''
    operators: str = ''
    peers: str = ''
    weight: float = 1
    draining: bool = False
    incarnation: str = ''
