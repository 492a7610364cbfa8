"""Where memory is reserved: an accelerator of an upstream."""

from typing import NamedTuple, final


@final
class Place(NamedTuple):
    """One accelerator of one upstream."""

    upstream: str
    accelerator: str
