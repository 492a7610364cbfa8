"""Predicts the time to the first event or response at an upstream."""

from typing import Final

from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._engine_speed import PROMPT_TOKENS_PER_S
from persimmonhold.fleet._response_times import ResponseTimes
from persimmonhold.fleet._upstream_tracker import UpstreamTracker

_FIXED_OVERHEAD_S: Final = 0.012  # a connection and two batch steps
# Time for the request to the fleet controller, its order, and the load.
_ADAPTER_LOAD_S: Final = 0.03
_OTHER_DOMAIN_S: Final = 0.001  # round trip at 0.5 ms each way
_MIN_SLOWDOWN: Final = 0.7  # lower bound of the factor learned from responses


def predict_first_event_s(
    tracker: UpstreamTracker,
    request: DispatchRequest,
    failure_domain: str,
    now: float,
    *,
    needs_adapter: bool,
) -> float:
    """Return the expected seconds to the first event of an engine.

    Includes the wait for a slot and, if `needs_adapter`, the adapter load.
    """
    excess = tracker.total_running(now) + 1 - tracker.facts.slots
    wait_s = (
        max(0, excess)
        * tracker.response_times.average_attempt_s
        / max(1, tracker.facts.slots)
    )
    unread = tracker.total_unread_tokens(now) + request.profile.prompt_tokens
    read_s = unread / PROMPT_TOKENS_PER_S
    domain_hop_s = (
        0 if tracker.facts.failure_domain == failure_domain else _OTHER_DOMAIN_S
    )
    adapter_s = _ADAPTER_LOAD_S if needs_adapter else 0
    processing_s = (_FIXED_OVERHEAD_S + read_s) * _clamp_slowdown(
        tracker.response_times.slowdown
    )
    return processing_s + wait_s + domain_hop_s + adapter_s


def predict_response_s(
    times: ResponseTimes, usual_s: float, now: float
) -> float:
    """Return the expected seconds to the response of a plain service.

    An upstream that was not tried lately is expected to need `usual_s`, like
    the others of its service.
    """
    return usual_s if times.is_untried(now) else learned_response_s(times)


def learned_response_s(times: ResponseTimes) -> float:
    """Return the seconds to a response as learned, however long ago."""
    return times.average_attempt_s * _clamp_slowdown(times.slowdown)


def _clamp_slowdown(slowdown: float) -> float:
    return max(_MIN_SLOWDOWN, slowdown)
