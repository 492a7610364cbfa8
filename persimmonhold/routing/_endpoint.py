"""An upstream that serves a target."""

from typing import final

import msgspec

from persimmonhold.catalogue import UpstreamEntry


@final
class Endpoint(msgspec.Struct, frozen=True):
    """An upstream that serves a target, and the version it serves.

    `is_current` tells whether that is the target's version in the catalogue.
    """

    upstream: UpstreamEntry
    version: str
    is_current: bool
