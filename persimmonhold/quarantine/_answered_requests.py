"""The requests that upstreams have answered lately, at one entry."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, final

from persimmonhold.quarantine._request_fingerprint import is_fingerprint
from persimmonhold.quarantine._suspect import SUSPICION_S

_MAX_FINGERPRINTS: Final = 6144  # three for each request


@final
class AnsweredRequests:
    """When an upstream last began to answer equal requests, and went on.

    It has the newest ones, up to a bound, and none older than a suspicion.
    """

    __slots__ = ('began_at',)

    def __init__(self) -> None:
        """Create a memory without any request."""
        self.began_at: OrderedDict[str, float] = OrderedDict()

    def record(self, parts: Iterable[str], began_at: float) -> None:
        """Remember the fingerprints among the parts of an answered request."""
        for part in filter(is_fingerprint, parts):
            known_at = self.began_at.get(part, began_at)
            self.began_at[part] = max(known_at, began_at)
            self.began_at.move_to_end(part)
        while self.began_at:
            oldest = next(iter(self.began_at))
            is_old = began_at - self.began_at[oldest] > SUSPICION_S
            if not is_old and len(self.began_at) <= _MAX_FINGERPRINTS:
                break
            self.began_at.pop(oldest)

    def is_answered_since(self, part: str, since: float) -> bool:
        """Tell whether an equal request began to be answered after a time."""
        began_at = self.began_at.get(part)
        return began_at is not None and began_at > since
