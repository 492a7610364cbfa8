"""Numbers and texts of the platform that this system can pass on."""

from typing import Annotated, Final, TypeAlias

import msgspec

_LARGEST: Final = 9_223_372_036_854_775_807
_MAX_NAME_CHARS: Final = 1024
_MAX_RATE: Final = 1e12

Integer: TypeAlias = Annotated[int, msgspec.Meta(ge=-_LARGEST, le=_LARGEST)]
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=_LARGEST)]
Rate: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=_MAX_RATE)]
Name: TypeAlias = Annotated[str, msgspec.Meta(max_length=_MAX_NAME_CHARS)]
