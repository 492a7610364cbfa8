"""What a plain service reports of itself."""

from typing import final

import msgspec


@final
class ServiceState(msgspec.Struct, frozen=True):
    """The answer of a plain service to `GET /load`."""

    leaving: bool = False
