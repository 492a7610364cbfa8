"""The load offered to one target in one period."""

from typing import final


@final
class OfferedLoad:
    """Requests, their tokens, and those refused for want of capacity."""

    __slots__ = ('output_tokens', 'prompt_tokens', 'refused', 'requests')

    def __init__(self) -> None:
        """Create a load of nothing."""
        self.requests = 0
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.refused = 0
