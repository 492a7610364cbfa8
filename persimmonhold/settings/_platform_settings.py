"""The section `[platform]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta

from persimmonhold.settings._address_text import AddressText


@final
class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the platform tells about VMs."""

    vm_list: Annotated[
        AddressText,
        Meta(description='Where the list of live and leaving VMs is.'),
    ] = ''
    poll_interval_ms: Annotated[
        int,
        Meta(ge=50, le=60_000, description='Time between load reports.'),
    ] = 250
