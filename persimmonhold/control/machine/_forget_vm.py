"""The command that removes a VM that will not come back."""

from typing import final

import msgspec


@final
class ForgetVm(msgspec.Struct, frozen=True, kw_only=True, tag='forget_vm'):
    """Removes a registered VM, whether a majority knows of it or not.

    The operator vouches that the VM is stopped; it is what remains where
    more than half of the registered VMs are lost for good.
    """

    operator: str
    command_id: str
    at_ms: int
    name: str
    reason: str = ''
