"""The state of something held in accelerator memory."""

import enum
from typing import final


@final
@enum.unique
class Residency(enum.StrEnum):
    """Progress of a held model or adapter."""

    loading = 'loading'
    ready = 'ready'
    unloading = 'unloading'
