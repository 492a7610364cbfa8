"""The record of a VM in the control state."""

from typing import final

import msgspec


@final
class VmRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses (`ip:port`, empty without that role) and state of a VM.

    `weight` is the relative share of callers that the directory of entries
    gives the VM. A `draining` VM is left out of it. `incarnation`
    changes at each start of the process.
    """

    name: str
    failure_domain: str
    callers: str = ''
    operators: str = ''
    peers: str = ''
    weight: float = 1
    draining: bool = False
    incarnation: str = ''
