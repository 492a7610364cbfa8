"""The section `[platform]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta

from persimmonhold.settings._address_text import AddressText


@final
class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The VM list of the platform and the polling of load reports."""

    vm_list: Annotated[
        AddressText,
        Meta(
            description='Address of the list of live and leaving VMs; ip:port.'
        ),
    ] = ''
    poll_interval_ms: Annotated[
        int,
        Meta(ge=50, le=60_000, description='Time between load reports.'),
    ] = 250
