"""The command that removes a VM that will not come back."""

from typing import final

import msgspec


@final
class ForgetVm(msgspec.Struct, frozen=True, kw_only=True, tag='forget_vm'):
    """Removes a registered VM without waiting for a majority of the VMs.

    `RegisterVm` adds or removes a VM only once a majority of the VMs has
    applied the last view; this command works even if more than half of them
    are lost for good. The operator guarantees that the VM is stopped.
    """

    operator: str
    command_id: str
    at_ms: int
    name: str
    reason: str = ''
