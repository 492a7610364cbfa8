"""Names of what memory is reserved for, and where."""

from typing import NamedTuple, final


@final
class Place(NamedTuple):
    """One accelerator of one upstream."""

    upstream: str
    accelerator: str
