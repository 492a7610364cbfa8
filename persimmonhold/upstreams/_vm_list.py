"""The platform's list of VMs."""

from typing import Final, final

import msgspec

_LIVE: Final = 'live'


@final
class ListedVm(msgspec.Struct, frozen=True):
    """A VM of the platform, identified by the address of its upstream."""

    address: str
    state: str = _LIVE

    @property
    def is_leaving(self) -> bool:
        """Whether the platform is removing this VM."""
        return self.state != _LIVE


@final
class VmList(msgspec.Struct, frozen=True):
    """The response to `GET /vms`.

    The list lags behind the platform, so a VM that is not listed is treated
    as live.
    """

    vms: tuple[ListedVm, ...] = ()
