"""The section `[platform]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta

from persimmonhold.settings._address_text import AddressText


@final
class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where the platform lists its VMs, and how often upstreams are polled."""

    vm_list: Annotated[
        AddressText,
        Meta(
            description='Address of the list of live and leaving VMs; ip:port.'
        ),
    ] = ''
    poll_interval_ms: Annotated[
        int,
        Meta(
            ge=50,
            le=60_000,
            description='Time between two reads of the load of an upstream.',
        ),
    ] = 250
