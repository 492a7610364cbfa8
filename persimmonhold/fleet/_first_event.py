"""Predicts the time to the first event or response at an upstream."""

from typing import Final

from persimmonhold.fleet._dispatch_request import DispatchRequest
from persimmonhold.fleet._engine_speed import PROMPT_TOKENS_PER_S
from persimmonhold.fleet._first_event_forecast import FirstEventForecast
from persimmonhold.fleet._prompt_memory import CachedPrompt
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
    unread = tracker.total_unread_tokens(now) + request.profile.prompt_tokens
    read_s = unread / PROMPT_TOKENS_PER_S
    processing_s = (_FIXED_OVERHEAD_S + read_s) * _clamp_slowdown(
        tracker.response_times.slowdown
    )
    return processing_s + _predict_delay_s(
        tracker, failure_domain, now, needs_adapter=needs_adapter
    )


def forecast_first_event(
    tracker: UpstreamTracker,
    request: DispatchRequest,
    failure_domain: str,
    tokens_per_s: float,
    cached: CachedPrompt,
    now: float,
    *,
    needs_adapter: bool,
) -> FirstEventForecast:
    """Return the forecast of the first event of an engine.

    The engine reads `tokens_per_s`, and has `cached` a part of the prompt.
    """
    prompt_tokens = request.profile.prompt_tokens
    unread = tracker.total_unread_tokens(now) + prompt_tokens
    cached_tokens = min(cached.tokens, prompt_tokens)
    other_s = _FIXED_OVERHEAD_S + _predict_delay_s(
        tracker, failure_domain, now, needs_adapter=needs_adapter
    )
    return FirstEventForecast(
        expected_s=other_s + (unread - cached_tokens) / tokens_per_s,
        other_s=other_s,
        unread_tokens=unread,
        cached_tokens=cached_tokens,
        cached_at=cached.used_at,
        tokens_per_s=tokens_per_s,
    )


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


def _predict_delay_s(
    tracker: UpstreamTracker,
    failure_domain: str,
    now: float,
    *,
    needs_adapter: bool,
) -> float:
    """Return the seconds for a slot, for the adapter, and between domains."""
    excess = tracker.total_running(now) + 1 - tracker.facts.slots
    wait_s = (
        max(0, excess)
        * tracker.response_times.average_attempt_s
        / max(1, tracker.facts.slots)
    )
    if tracker.facts.failure_domain != failure_domain:
        wait_s += _OTHER_DOMAIN_S
    return wait_s + _ADAPTER_LOAD_S * needs_adapter


def _clamp_slowdown(slowdown: float) -> float:
    return max(_MIN_SLOWDOWN, slowdown)
