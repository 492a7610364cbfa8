"""Whether an upstream may be given new work.

Invariants: a leaving upstream takes none, whichever sign told of it. An
unreachable or ejected one takes none until its pause is over, then one
request at a time until enough of them succeeded; a failure doubles the pause.
"""

from typing import Final, final

from persimmonhold.routing._router_settings import RouterSettings

_SMOOTHING: Final = 0.2
_SLOW_SAMPLES: Final = 10
_MAX_DOUBLINGS: Final = 16


@final
class UpstreamHealth:
    """Evidence about an upstream and the pauses that follow from it."""

    __slots__ = (
        '_pauses',
        '_probes',
        '_probes_left',
        '_settings',
        '_slow_samples',
        '_slowness',
        '_warm_from',
        'ejected_until',
        'failures',
        'leaving_by_list',
        'leaving_by_report',
        'unreachable_until',
    )

    def __init__(self, settings: RouterSettings) -> None:
        """Create the health of an upstream without any evidence."""
        self.leaving_by_report = False
        self.leaving_by_list = False
        self.failures = 0
        self.ejected_until = float('-inf')
        self.unreachable_until = float('-inf')
        self._pauses = 0
        self._probes = 0
        self._probes_left = 0
        self._slowness = 1.0
        self._slow_samples = 0
        self._warm_from = float('-inf')
        self._settings = settings

    @property
    def is_leaving(self) -> bool:
        """Tell whether a sign says that the upstream is leaving."""
        return self.leaving_by_report or self.leaving_by_list

    def is_reachable(self, now: float) -> bool:
        """Tell whether a connection may be tried."""
        return not self.is_leaving and now >= self.unreachable_until

    def is_ejected(self, now: float) -> bool:
        """Tell whether the upstream is paused or being probed already."""
        if now < self.ejected_until:
            return True
        return self._probes_left > 0 and self._probes > 0

    def weight(self, now: float) -> float:
        """Return the share of its usual work that the upstream may get."""
        floor = self._settings.warm_up_floor
        warm = (now - self._warm_from) / self._settings.warm_up_s
        return min(1, max(floor, warm))

    def start(self) -> None:
        """Count an attempt; one on trial is a probe."""
        if self._probes_left:
            self._probes += 1

    def succeed(self, now: float) -> None:
        """Take an attempt that ended well as evidence."""
        self.failures = 0
        self._probes = max(0, self._probes - 1)
        if not self._probes_left:
            return
        self._probes_left -= 1
        if not self._probes_left:
            self._recover(now)

    def cancel(self) -> None:
        """Stop counting an attempt that proves nothing."""
        self._probes = max(0, self._probes - 1)

    def fail(self, now: float) -> None:
        """Take an attempt that failed as evidence."""
        self.failures += 1
        self._probes = max(0, self._probes - 1)
        if now < self.ejected_until:
            return
        if self._probes_left or self._has_failed_enough():
            self._eject(now)

    def lose(self, now: float) -> None:
        """Pause after a refused connection."""
        if now < self.unreachable_until:
            return
        self._pauses = min(self._pauses + 1, _MAX_DOUBLINGS)
        self._probes_left = self._settings.probe_successes
        pause_s = self._settings.unreachable_pause_s * 2 ** (self._pauses - 1)
        limit_s = self._settings.unreachable_max_pause_s
        self.unreachable_until = now + min(limit_s, pause_s)

    def restart(self, now: float) -> None:
        """Forget evidence about the process before a restart."""
        self.failures = 0
        self.ejected_until = float('-inf')
        self.unreachable_until = float('-inf')
        self._recover(now)

    def learn_slowness(
        self, now: float, ratio: float, excess_ms: float
    ) -> None:
        """Take a first-token time relative to the prediction as evidence."""
        self._slowness += _SMOOTHING * (ratio - self._slowness)
        slow_ms = self._settings.ejection_slow_excess_ms
        if self._slowness < self._settings.ejection_slow_ratio:
            self._slow_samples = 0
        elif excess_ms > slow_ms:
            self._slow_samples += 1
        if self._slow_samples >= _SLOW_SAMPLES and now >= self.ejected_until:
            self._eject(now)

    def _has_failed_enough(self) -> bool:
        return self.failures >= self._settings.ejection_failures

    def _eject(self, now: float) -> None:
        self._pauses = min(self._pauses + 1, _MAX_DOUBLINGS)
        pause_s = self._settings.ejection_pause_s * 2 ** (self._pauses - 1)
        self.ejected_until = now + min(
            self._settings.ejection_max_pause_s, pause_s
        )
        self._probes_left = self._settings.probe_successes
        self._slow_samples = 0
        self._slowness = 1.0

    def _recover(self, now: float) -> None:
        self._pauses = 0
        self._probes_left = 0
        self._slow_samples = 0
        self._slowness = 1.0
        self._warm_from = now
