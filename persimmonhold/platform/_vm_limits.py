"""The resources of a VM, as the platform's settings file states them."""

import math
from typing import Final, final

import msgspec

_SMALLEST_MEMORY_MB: Final = 160.0  # assumed where none is stated
_WEIGHT_DIGITS: Final = 3
_MIN_WEIGHT: Final = 0.001
_MAX_WEIGHT: Final = 100.0  # the bound of the setting `weight`
_MAX_STATED: Final = 1_000_000_000


@final
class VmLimits(msgspec.Struct, frozen=True, rename='kebab'):
    """The section `[limits]`: `cpu_share` is the usable part of `cores`.

    Earlier builds ignored it, so no value in it prevents a start.
    """

    cores: object = None
    cpu_share: object = None
    memory_mb: object = None
    disk_mb: object = None
    max_fds: object = None

    @property
    def weight(self) -> float:
        """The share of callers: the usable cores, or 1 if they are unknown."""
        usable = _read_number(self.cores) * _read_number(self.cpu_share)
        if not usable:
            return 1
        rounded = round(usable, _WEIGHT_DIGITS)
        return min(_MAX_WEIGHT, max(_MIN_WEIGHT, rounded))

    @property
    def memory(self) -> int:
        """The memory in MB, or that of the smallest VM if it is unknown."""
        return int(_read_number(self.memory_mb) or _SMALLEST_MEMORY_MB)

    @property
    def disk(self) -> int:
        """The disk in MB, or 0 if it is unknown."""
        return int(_read_number(self.disk_mb))

    @property
    def descriptors(self) -> int:
        """The number of descriptors, or 0 for the limit of the process."""
        return int(_read_number(self.max_fds))


def _read_number(given: object) -> float:
    """Return a positive finite number, or 0 if a value is none."""
    if isinstance(given, bool) or not isinstance(given, int | float):
        return 0
    return min(given, _MAX_STATED) if 0 < given < math.inf else 0
