"""The command that starts or ends the draining of a VM."""

from typing import final

import msgspec


@final
class DrainVm(msgspec.Struct, frozen=True, kw_only=True, tag='drain_vm'):
    """Sets or clears the draining state of a registered VM.

    The directory, in which callers find entries, leaves out draining VMs.
    """

    operator: str
    command_id: str
    at_ms: int
    name: str
    draining: bool = True
    reason: str = ''
