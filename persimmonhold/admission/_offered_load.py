"""The load offered to one target in one period."""

from typing import final


@final
class OfferedLoad:
    """The new requests for one target in one period, and their tokens.

    `output_tokens` sums the maximum lengths of their answers. `refused` counts
    the requests that were refused for lack of capacity.
    """

    __slots__ = ('output_tokens', 'prompt_tokens', 'refused', 'requests')

    def __init__(self) -> None:
        """Create counts of zero."""
        self.requests = 0
        self.prompt_tokens = 0
        self.output_tokens = 0
        self.refused = 0
