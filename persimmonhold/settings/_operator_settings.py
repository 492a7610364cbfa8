"""The section `[operators]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta

from persimmonhold.settings._address_text import AddressText


@final
class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The address at which a control VM serves operators."""

    address: Annotated[
        AddressText,
        Meta(description='Address to listen on; ip:port.'),
    ] = ''
