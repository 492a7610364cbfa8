"""Decides whether an upstream may receive new requests.

Invariants: an upstream that is leaving according to its load report or the VM
list receives no new requests. An unreachable or ejected upstream is paused.
After the pause it should receive one request at a time as a probe, until
`probe_successes` probes have succeeded; each further failure doubles the
pause. An upstream is unreachable after a refused connection, and ejected after
repeated failures or responses that were much slower than predicted. The router
ignores the ejection of some upstreams if too many are ejected.
"""

from typing import Final, final

from persimmonhold.routing._router_settings import RouterSettings

# Weight of the newest sample in the exponential average of latency ratios.
_SMOOTHING_FACTOR: Final = 0.2
# So many slow first tokens eject an upstream.
_SLOW_SAMPLES_TO_EJECT: Final = 10
# Keeps the power of two finite; the pause itself has a limit in the settings.
_MAX_DOUBLINGS: Final = 16


@final
class UpstreamHealth:
    """Tracks failures and latencies of one upstream and pauses it after them.

    The pauses end at `ejected_until` and `unreachable_until`, in seconds of
    the entry's clock.
    """

    __slots__ = (
        '_consecutive_pauses',
        '_probes_in_flight',
        '_probes_to_succeed',
        '_settings',
        '_slow_sample_count',
        '_smoothed_latency_ratio',
        '_warm_up_started_at',
        'consecutive_failures',
        'ejected_until',
        'is_leaving_by_report',
        'is_leaving_in_vm_list',
        'unreachable_until',
    )

    def __init__(self, settings: RouterSettings) -> None:
        """Create the health of an upstream that no request was sent to."""
        self.is_leaving_by_report = False
        self.is_leaving_in_vm_list = False
        self.consecutive_failures = 0
        self.ejected_until = float('-inf')
        self.unreachable_until = float('-inf')
        self._consecutive_pauses = 0
        self._probes_in_flight = 0
        self._probes_to_succeed = 0
        self._smoothed_latency_ratio = 1.0
        self._slow_sample_count = 0
        self._warm_up_started_at = float('-inf')
        self._settings = settings

    @property
    def is_leaving(self) -> bool:
        """Tell whether the report or the VM list says that it is leaving."""
        return self.is_leaving_by_report or self.is_leaving_in_vm_list

    def is_reachable(self, now: float) -> bool:
        """Tell whether the upstream is neither leaving nor unreachable."""
        return not self.is_leaving and now >= self.unreachable_until

    def is_ejected(self, now: float) -> bool:
        """Tell whether the upstream is ejected or has a probe in flight."""
        if now < self.ejected_until:
            return True
        return self._probes_to_succeed > 0 and self._probes_in_flight > 0

    def warm_up_weight(self, now: float) -> float:
        """Return the fraction of its usual load that the upstream may get.

        It rises from `warm_up_floor` to 1 over `warm_up_s` after a recovery
        or restart.
        """
        floor = self._settings.warm_up_floor
        warm = (now - self._warm_up_started_at) / self._settings.warm_up_s
        return min(1, max(floor, warm))

    def record_attempt_start(self) -> None:
        """Count an attempt as a probe while probes are required."""
        if self._probes_to_succeed:
            self._probes_in_flight += 1

    def record_success(self, now: float) -> None:
        """Record a successful attempt and reset the consecutive failures.

        If it is the last of the required probes, also starts the warm-up.
        """
        self.consecutive_failures = 0
        self._probes_in_flight = max(0, self._probes_in_flight - 1)
        if not self._probes_to_succeed:
            return
        self._probes_to_succeed -= 1
        if not self._probes_to_succeed:
            self._reset_and_start_warm_up(now)

    def record_cancellation(self) -> None:
        """Record an attempt that was cancelled or refused.

        Does not count as a success or failure, but if the attempt was a probe,
        the next probe may be sent.
        """
        self._probes_in_flight = max(0, self._probes_in_flight - 1)

    def record_failure(self, now: float) -> None:
        """Record a failed attempt.

        Ejects the upstream, unless it is ejected already, while probes are
        required or after `ejection_failures` consecutive failures.
        """
        self.consecutive_failures += 1
        self._probes_in_flight = max(0, self._probes_in_flight - 1)
        if now < self.ejected_until:
            return
        if self._probes_to_succeed or self._has_reached_failure_limit():
            self._eject(now)

    def pause_unreachable(self, now: float) -> None:
        """Pause the upstream after a refused connection and require probes.

        Each pause is twice as long as the last one, up to
        `unreachable_max_pause_s`. Has no effect during such a pause.
        """
        if now < self.unreachable_until:
            return
        self._consecutive_pauses = min(
            self._consecutive_pauses + 1, _MAX_DOUBLINGS
        )
        self._probes_to_succeed = self._settings.probe_successes
        pause_s = self._settings.unreachable_pause_s * 2 ** (
            self._consecutive_pauses - 1
        )
        limit_s = self._settings.unreachable_max_pause_s
        self.unreachable_until = now + min(limit_s, pause_s)

    def reset_after_restart(self, now: float) -> None:
        """End all pauses and start the warm-up after a restart."""
        self.consecutive_failures = 0
        self.ejected_until = float('-inf')
        self.unreachable_until = float('-inf')
        self._reset_and_start_warm_up(now)

    def record_latency(
        self, now: float, ratio: float, excess_ms: float
    ) -> None:
        """Record the ratio of a first-token time to its prediction.

        `excess_ms` is the difference of the two.

        Ejects the upstream after `_SLOW_SAMPLES_TO_EJECT` samples that exceed
        the prediction by `ejection_slow_excess_ms` while the smoothed ratio is
        at least `ejection_slow_ratio`.
        """
        self._smoothed_latency_ratio += _SMOOTHING_FACTOR * (
            ratio - self._smoothed_latency_ratio
        )
        slow_ms = self._settings.ejection_slow_excess_ms
        if self._smoothed_latency_ratio < self._settings.ejection_slow_ratio:
            self._slow_sample_count = 0
        elif excess_ms > slow_ms:
            self._slow_sample_count += 1
        if (
            self._slow_sample_count >= _SLOW_SAMPLES_TO_EJECT
            and now >= self.ejected_until
        ):
            self._eject(now)

    def _has_reached_failure_limit(self) -> bool:
        return self.consecutive_failures >= self._settings.ejection_failures

    def _eject(self, now: float) -> None:
        """Pause the upstream, twice as long each time, and require probes."""
        self._consecutive_pauses = min(
            self._consecutive_pauses + 1, _MAX_DOUBLINGS
        )
        pause_s = self._settings.ejection_pause_s * 2 ** (
            self._consecutive_pauses - 1
        )
        self.ejected_until = now + min(
            self._settings.ejection_max_pause_s, pause_s
        )
        self._probes_to_succeed = self._settings.probe_successes
        self._slow_sample_count = 0
        self._smoothed_latency_ratio = 1.0

    def _reset_and_start_warm_up(self, now: float) -> None:
        """Require no more probes, reset the pause length, start the warm-up."""
        self._consecutive_pauses = 0
        self._probes_to_succeed = 0
        self._slow_sample_count = 0
        self._smoothed_latency_ratio = 1.0
        self._warm_up_started_at = now
