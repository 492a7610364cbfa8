"""State that an upstream without an engine reports."""

from typing import final

import msgspec


@final
class ServiceState(msgspec.Struct, frozen=True):
    """The response of an upstream without an engine to `GET /load`."""

    leaving: bool = False
