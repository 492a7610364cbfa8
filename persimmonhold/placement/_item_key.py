"""The key of an item in the memory of one accelerator."""

from typing import NamedTuple, final


@final
class ItemKey(NamedTuple):
    """Identifies an item in accelerator memory: a version of a target.

    `target` is the name of a model or adapter. An accelerator holds each
    version at most once.
    """

    target: str
    version: str
