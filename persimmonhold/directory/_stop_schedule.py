"""The times of a planned stop."""

from typing import Final, Self, final

import msgspec

# For this many directory TTLs an entry accepts connections after it has left
# the directory, since some callers cache addresses for three TTLs.
_SERVE_ON_TTLS: Final = 3.0
_SERVE_ON_MARGIN_S: Final = 1.0
# Shares of the grace period.
_MAX_CLOSE_SHARE: Final = 0.5
_ANSWERS_SHARE: Final = 0.84
_END_SHARE: Final = 0.9125
# Of the time between the close and the end, the share that is left at most for
# what has to follow the answers, and its upper bound.
_MAX_FINISH_SHARE: Final = 0.3
_MAX_FINISH_S: Final = 3.0
# Share of the time until the close after which the close is announced at the
# latest.
_MAX_ANNOUNCEMENT_SHARE: Final = 0.25


@final
class StopSchedule(msgspec.Struct, frozen=True, kw_only=True):
    """When the phases of an entry's planned stop begin.

    From `announces_close_at` responses ask to close the connection, from
    `closes_at` no connection is accepted. A request without a response is
    answered at `answers_at`, and what is left is broken off at `ends_at`.
    The times are seconds of the entry's clock, in this order.
    """

    announces_close_at: float
    closes_at: float
    answers_at: float
    ends_at: float

    @classmethod
    def within_grace(cls, now: float, grace_s: float, ttl_s: float) -> Self:
        """Return the schedule of a process that is killed after `grace_s`.

        Callers may use a directory response for `ttl_s` seconds.
        """
        close_s = min(
            _SERVE_ON_TTLS * ttl_s + _SERVE_ON_MARGIN_S,
            _MAX_CLOSE_SHARE * grace_s,
        )
        return cls(
            announces_close_at=now
            + min(ttl_s, _MAX_ANNOUNCEMENT_SHARE * close_s),
            closes_at=now + close_s,
            answers_at=now + _ANSWERS_SHARE * grace_s,
            ends_at=now + _END_SHARE * grace_s,
        )

    @classmethod
    def within_drain(
        cls, now: float, ttl_s: float, margin_s: float, timeout_s: float
    ) -> Self:
        """Return the schedule of a process that nothing kills.

        Callers may use a directory response for `ttl_s` seconds. Connections
        are accepted for `margin_s` seconds after the close was announced; the
        requests in progress then have `timeout_s` seconds to end.
        """
        announces_at = now + ttl_s
        closes_at = announces_at + margin_s
        ends_at = closes_at + timeout_s
        finish_s = min(_MAX_FINISH_SHARE * timeout_s, _MAX_FINISH_S)
        return cls(
            announces_close_at=announces_at,
            closes_at=closes_at,
            answers_at=ends_at - finish_s,
            ends_at=ends_at,
        )

    def without_new_connections(self, now: float) -> Self:
        """Return the schedule of an entry that accepts nothing from now on."""
        return type(self)(
            announces_close_at=now,
            closes_at=now,
            answers_at=self.answers_at,
            ends_at=self.ends_at,
        )
