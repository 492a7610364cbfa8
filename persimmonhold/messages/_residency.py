"""The state of an item in accelerator memory."""

import enum
from typing import final


@final
@enum.unique
class Residency(enum.StrEnum):
    """State of a model or adapter that an accelerator holds."""

    loading = 'loading'
    ready = 'ready'
    unloading = 'unloading'
