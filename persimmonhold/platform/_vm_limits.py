"""The resources of a VM, as the platform's settings file states them."""

import math
from typing import Final, final

import msgspec

_WEIGHT_DIGITS: Final = 3
_MIN_WEIGHT: Final = 0.001
_MAX_WEIGHT: Final = 100.0  # the bound of the setting `weight`


@final
class VmLimits(msgspec.Struct, frozen=True, rename='kebab'):
    """The section `[limits]`: `cpu_share` is the usable part of `cores`.

    Earlier builds ignored it, so no value in it prevents a start.
    """

    cores: object = None
    cpu_share: object = None

    @property
    def weight(self) -> float:
        """The share of callers: the usable cores, or 1 if they are unknown."""
        usable = _read_number(self.cores) * _read_number(self.cpu_share)
        if not 0 < usable < math.inf:
            return 1
        rounded = round(usable, _WEIGHT_DIGITS)
        return min(_MAX_WEIGHT, max(_MIN_WEIGHT, rounded))


def _read_number(given: object) -> float:
    """Return a positive number, or 0 if a value is none."""
    if isinstance(given, bool) or not isinstance(given, int | float):
        return 0
    return given if given > 0 else 0
