"""The reasons why a failed attempt may be retried."""

import enum
from types import MappingProxyType
from typing import Final, final

from persimmonhold.routing import AttemptOutcome


@final
@enum.unique
class RetryReason(enum.StrEnum):
    """How the attempt failed after which a request is retried.

    After `connect_failed`, `nothing_sent` and `upstream_refused` the attempt
    was certainly not run; after the others it may have been.
    """

    connect_failed = 'connect_failed'
    nothing_sent = 'nothing_sent'
    upstream_refused = 'upstream_refused'
    timed_out = 'timed_out'
    broken = 'broken'
    server_error = 'server_error'

    @property
    def is_certainly_not_run(self) -> bool:
        """Whether the upstream certainly did not execute the request."""
        return self in _NOT_RUN

    @property
    def outcome(self) -> AttemptOutcome:
        """The outcome of the attempt that is reported to the router."""
        return _OUTCOMES[self]


_NOT_RUN: Final = frozenset((
    RetryReason.connect_failed,
    RetryReason.nothing_sent,
    RetryReason.upstream_refused,
))
_OUTCOMES: Final = MappingProxyType({
    RetryReason.connect_failed: AttemptOutcome.connect_failed,
    RetryReason.nothing_sent: AttemptOutcome.broken,
    RetryReason.upstream_refused: AttemptOutcome.refused,
    RetryReason.timed_out: AttemptOutcome.timed_out,
    RetryReason.broken: AttemptOutcome.broken,
    RetryReason.server_error: AttemptOutcome.server_error,
})
