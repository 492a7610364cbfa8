"""What distinguishes two items in the memory of one accelerator."""

from typing import NamedTuple, final


@final
class ItemKey(NamedTuple):
    """A version of a model or adapter; engines hold each at most once."""

    target: str
    version: str
