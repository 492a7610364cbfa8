"""The section `[metrics]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta

from persimmonhold.settings._address_text import AddressText


@final
class MetricsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """An extra address that serves only metrics.

    Without a platform, the addresses for callers and for operators serve
    `GET /metrics` as well.
    """

    address: Annotated[
        AddressText,
        Meta(description='Address of `GET /metrics`; ip:port, empty: none.'),
    ] = ''
