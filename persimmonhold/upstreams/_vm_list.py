"""The platform's list of VMs."""

from typing import Final, final

import msgspec

_LIVE: Final = 'live'


@final
class ListedVm(msgspec.Struct, frozen=True):
    """A VM of the platform, by the address of what runs on it."""

    address: str
    state: str = _LIVE

    @property
    def is_leaving(self) -> bool:
        """Tell whether the platform takes this VM away."""
        return self.state != _LIVE


@final
class VmList(msgspec.Struct, frozen=True):
    """The answer to `GET /vms`.

    The list lags, so a VM that is not in it counts as live.
    """

    vms: tuple[ListedVm, ...] = ()
