"""The type of settings that hold an address, as `ip:port` or empty."""

from typing import Annotated, TypeAlias

import msgspec

AddressText: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^$|^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$'
    ),
]
