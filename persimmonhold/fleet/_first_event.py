"""Predicts when an upstream would send the first event of a request."""

from typing import Final

from persimmonhold.fleet._engine_speed import PROMPT_TOKENS_PER_S
from persimmonhold.fleet._forward_ticket import ForwardTicket
from persimmonhold.fleet._upstream_tracker import UpstreamTracker

_BASE_S: Final = 0.012  # a connection and two steps of the batch
_ADAPTER_S: Final = 0.03  # a hop to the giver of orders, the order, the load
_OTHER_DOMAIN_S: Final = 0.001  # there and back at 0.5 ms
_LEAST_SLOWNESS: Final = 0.7


def predict_first_event_s(
    use: UpstreamTracker,
    ticket: ForwardTicket,
    domain: str,
    now: float,
    *,
    needs_adapter: bool,
) -> float:
    """Return the expected seconds from now to the first event or answer."""
    excess = use.total_running(now) + 1 - use.facts.slots
    wait_s = max(0, excess) * use.residence_s / max(1, use.facts.slots)
    if not ticket.is_engine:
        return use.residence_s * _bounded(use.slowdown) + wait_s
    unread = use.total_unread_tokens(now) + ticket.profile.prompt_tokens
    read_s = unread / PROMPT_TOKENS_PER_S
    far_s = 0 if use.facts.failure_domain == domain else _OTHER_DOMAIN_S
    adapter_s = _ADAPTER_S if needs_adapter else 0
    here_s = (_BASE_S + read_s) * _bounded(use.slowdown)
    return here_s + wait_s + far_s + adapter_s


def _bounded(slowness: float) -> float:
    return max(_LEAST_SLOWNESS, slowness)
