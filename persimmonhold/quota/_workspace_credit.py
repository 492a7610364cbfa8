"""What the fleet controller knows of the credit of one workspace."""

from typing import final

from persimmonhold.quota._credit_bucket import CreditBucket
from persimmonhold.quota._granted_share import GrantedShare


@final
class WorkspaceCredit:
    """The bucket of a workspace, and what was granted and refused.

    The counts are those since the last summary.
    """

    __slots__ = ('bucket', 'granted', 'refused', 'returned', 'share')

    def __init__(self, bucket: CreditBucket, now: float) -> None:
        """Create the credit of a workspace that requested none yet."""
        self.bucket = bucket
        self.share = GrantedShare(now)
        self._reset_counts()

    def compute_share(self, now: float) -> float:
        """Return the share of the demand that can be granted."""
        return self.share.compute(now, self.bucket.limit.per_s)

    @property
    def is_used(self) -> bool:
        """Whether anything was counted since the last summary."""
        return bool(self.granted or self.refused or self.returned)

    def pop_summary(self, name: str) -> dict[str, str | float]:
        """Return the counts, and begin those of the next summary."""
        summary: dict[str, str | float] = {
            'name': name,
            'granted': round(self.granted),
            'refused': round(self.refused),
            'returned': round(self.returned),
        }
        self._reset_counts()
        return summary

    def _reset_counts(self) -> None:
        self.granted = 0.0
        self.refused = 0.0
        self.returned = 0.0
