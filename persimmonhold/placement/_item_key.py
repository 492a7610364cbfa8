"""The key of an item in the memory of one accelerator."""

from typing import NamedTuple, final


@final
class ItemKey(NamedTuple):
    """A version of a model or adapter.

    An accelerator holds each version at most once.
    """

    target: str
    version: str
