"""An upstream that serves a target."""

from typing import final

import msgspec

from persimmonhold.catalogue import UpstreamEntry


@final
class Endpoint(msgspec.Struct, frozen=True):
    """An upstream that serves a target, and the version it serves.

    `is_current` tells whether the catalogue has the same version.
    """

    upstream: UpstreamEntry
    version: str
    is_current: bool
