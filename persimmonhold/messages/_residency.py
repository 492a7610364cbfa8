"""The state of an item in accelerator memory."""

import enum
from typing import final


@final
@enum.unique
class Residency(enum.StrEnum):
    """State of a model or adapter in the memory of an accelerator."""

    loading = 'loading'
    ready = 'ready'
    unloading = 'unloading'
