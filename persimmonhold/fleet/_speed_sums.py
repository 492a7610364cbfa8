"""Observations of the speed at which an upstream reads prompts."""

from typing import final

import msgspec


@final
class SpeedSums(msgspec.Struct, frozen=True, array_like=True):
    """Prompt tokens that an upstream has read, and the time that it took.

    A report has the sums since the last one, an update those of all entries,
    in which earlier observations count less.
    """

    upstream: str
    tokens: int
    ms: int
