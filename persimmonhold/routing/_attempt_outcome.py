"""How an attempt at an upstream ended."""

import enum
from typing import Final, final


@final
@enum.unique
class AttemptOutcome(enum.StrEnum):
    """How an attempt ended, for judging the health of the upstream.

    `refused` means that the upstream explicitly stated that it did not run the
    request, `cancelled` that this entry or the caller ended the attempt, and
    `broken` that the connection or the response broke off.
    """

    completed = 'completed'
    cancelled = 'cancelled'
    refused = 'refused'
    connect_failed = 'connect_failed'
    timed_out = 'timed_out'
    broken = 'broken'
    server_error = 'server_error'

    @property
    def is_failure(self) -> bool:
        """Tell whether the outcome counts against the upstream's health."""
        return self in _FAILURES


_FAILURES: Final = frozenset((
    AttemptOutcome.connect_failed,
    AttemptOutcome.timed_out,
    AttemptOutcome.broken,
    AttemptOutcome.server_error,
))
