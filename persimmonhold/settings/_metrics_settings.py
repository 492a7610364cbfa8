"""The section `[metrics]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta

from persimmonhold.settings._address_text import AddressText


@final
class MetricsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """An address for metrics, in addition to the addresses of the roles."""

    address: Annotated[
        AddressText,
        Meta(description='Address of `GET /metrics`; ip:port, empty: none.'),
    ] = ''
