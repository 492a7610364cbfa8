"""Builders of requests whose prompts have parts, and of their entries."""

import random

import msgspec

from persimmonhold.fleet import (
    AttemptEnd,
    DispatchRequest,
    ForwardDispatcher,
    RequestProfile,
    RetryBounds,
    SendRequest,
    UpstreamFacts,
)
from tests.fleet_builders import make_request, make_update, only

FIRST_EVENT_S = 0.035


def make_prompt(
    number: int,
    *parts: tuple[str, int],
    now: float = 0.0,
    model: str = 'm1',
    adapter: str = '',
) -> DispatchRequest:
    return msgspec.structs.replace(
        make_request(number, now),
        profile=RequestProfile(
            request_id=f'r{number}',
            model=model,
            adapter=adapter,
            prompt_tokens=sum(tokens for _, tokens in parts),
            prompt_parts=tuple(part for part, _ in parts),
            part_tokens=tuple(tokens for _, tokens in parts),
        ),
    )


def make_entry(
    *facts: UpstreamFacts,
    seed: int = 1,
    domain: str = 'd1',
    is_learning: bool = True,
) -> ForwardDispatcher:
    entry = ForwardDispatcher(
        domain, RetryBounds(), random.Random(seed), is_learning=is_learning
    )
    entry.apply_update(make_update(*facts), 0.0)
    return entry


def send(
    entry: ForwardDispatcher, request: DispatchRequest, now: float
) -> SendRequest:
    """Submit a request that an upstream can accept; return where it goes."""
    action = only(entry.submit_request(request, now))
    assert isinstance(action, SendRequest)
    return action


def serve(
    entry: ForwardDispatcher,
    request: DispatchRequest,
    now: float,
    first_event_s: float = FIRST_EVENT_S,
) -> str:
    """Have an upstream answer a request; return its name."""
    upstream = send(entry, request, now).upstream.name
    entry.record_first_byte(request.number, now + first_event_s)
    entry.finish_request(
        request.number, AttemptEnd.answered, now + first_event_s
    )
    return upstream
