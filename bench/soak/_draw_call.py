"""Draws the requests of callers."""

import random
from typing import Final

from bench.soak._call import Call
from bench.soak._configuration import (
    ADAPTERS,
    HOST,
    NOT_REPEATABLE,
    ROUTES,
    STREAMS,
    name_key,
    name_models,
)
from bench.soak._shape import Shape
from bench.soak._upstream import EVENTS_HEADER, GAP_HEADER, WORK_HEADER
from persimmonhold.platform import _names as names
from persimmonhold.web import ClientRequest, encode_headers

_LONG_SHARE: Final = 0.1
_LONG_FACTOR: Final = 8
_ABANDONED_SHARE: Final = 0.03
_MAX_PATIENCE_S: Final = 0.4
_MAX_WORK_MS: Final = 200
_MAX_EVENTS: Final = 10
# Of varied systems; the shortest is that of 400 tokens a second, the longest is
# taken for a stall.
_GAPS_MS: Final = (20, 100, 400, 900, 1500)
_MAX_STREAM_MS: Final = 9000
_ADAPTER_SHARE: Final = 0.1
_DEADLINES_S: Final = (2, 3, 6, 12)
_BODY_SIZES: Final = (0, 0, 100, 20_000)


def draw_call(
    rng: random.Random, request_id: str, shape: Shape | None = None
) -> Call:
    """Return a random request that is not sent yet."""
    route = rng.choice(ROUTES)
    factor = _LONG_FACTOR if rng.random() < _LONG_SHARE else 1
    work_ms = rng.randint(1, _MAX_WORK_MS) * factor
    event_count = 0
    if route in STREAMS:
        event_count = rng.randint(1, _MAX_EVENTS) * factor
        work_ms //= factor
    deadline_s = rng.choice(_DEADLINES_S)
    patience_s = rng.uniform(0, _MAX_PATIENCE_S)
    gap: dict[str, str] = {}
    if shape is not None and shape.is_varied and event_count:
        gap_ms = rng.choice(_GAPS_MS)
        event_count = min(event_count, _MAX_STREAM_MS // gap_ms)
        gap[GAP_HEADER] = str(gap_ms)
    headers = {
        names.REQUEST_ID: request_id,
        names.DEADLINE_MS: f'{deadline_s}000',
        WORK_HEADER: str(work_ms),
        EVENTS_HEADER: str(event_count),
        **gap,
    }
    if shape is not None:
        headers |= _draw_headers(rng, shape, event_count)
    return Call(
        request_id=request_id,
        request=ClientRequest(
            method='POST',
            target=f'/{route}/one',
            headers=encode_headers(headers),
            body=b'x' * rng.choice(_BODY_SIZES),
            host=HOST,
        ),
        deadline_s=deadline_s,
        is_repeatable=route not in NOT_REPEATABLE,
        event_count=event_count,
        patience_s=patience_s * (rng.random() < _ABANDONED_SHARE),
    )


def _draw_headers(
    rng: random.Random, shape: Shape, event_count: int
) -> dict[str, str]:
    """Return the headers that name a key and a model, if there are any."""
    headers: dict[str, str] = {}
    if shape.workspace_count:
        key = name_key(rng.randrange(shape.workspace_count))
        headers[names.AUTHORIZATION] = f'Bearer {key}'
    if shape.model_count and event_count:
        # The first models are popular.
        rank = int(shape.model_count * rng.random() ** 3)
        headers[names.MODEL] = name_models(shape.model_count)[rank]
        if shape.is_varied and rng.random() < _ADAPTER_SHARE:
            headers[names.MODEL] += f'/a{rng.randint(1, ADAPTERS)}'
        prompt_tokens = rng.randint(10, 1000)
        headers[names.TOKEN_COUNTS] = f'{prompt_tokens},{8 * event_count}'
        part = rng.randrange(100)
        headers[names.PROMPT_PARTS] = (
            f'{part:x}:{prompt_tokens // 2},'
            f'{rng.getrandbits(32):x}:{prompt_tokens - prompt_tokens // 2}'
        )
    return headers
