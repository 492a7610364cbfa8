"""The type of address keys."""

from typing import Annotated, TypeAlias

import msgspec

AddressText: TypeAlias = Annotated[
    str,
    msgspec.Meta(
        pattern=r'^$|^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$'
    ),
]
