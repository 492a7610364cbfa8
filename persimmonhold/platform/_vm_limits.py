"""What a VM on the platform has, by its settings file."""

from typing import Final, final

import msgspec

_SMALLEST_MEMORY_MB: Final = 160.0  # assumed where none is stated


@final
class VmLimits(msgspec.Struct, frozen=True, rename='kebab'):
    """The section `[limits]`; 0 descriptors: the limit of the process."""

    memory_mb: float = _SMALLEST_MEMORY_MB
    max_fds: int = 0
