"""The traffic that the callers of each deployment send."""

from typing import Final, final

import msgspec

from persimmonhold.load._request_kind import RequestKind


@final
class KindShare(msgspec.Struct, frozen=True):
    """The share of one request kind in a traffic mix, and the request size."""

    kind: RequestKind
    share: float
    prompt_characters: int = 0
    max_tokens: int = 0


@final
class TrafficMix(msgspec.Struct, frozen=True, kw_only=True):
    """The request kinds of a deployment, and how the rate varies over a run.

    `rate_profile` gives the relative rate in equal intervals of the run; it
    is scaled so that the mean rate of the run is kept. `calls_service` is the
    service that receives the calls.
    """

    name: str
    calls_service: str
    kinds: tuple[KindShare, ...]
    rate_profile: tuple[float, ...]


# Lunch-time peak: trainees send requests at the same time while marking runs
# as batch work; bookings follow.
HOOGWERK_MIX: Final = TrafficMix(
    name='hoogwerk',
    calls_service='bookings',
    kinds=(
        KindShare(RequestKind.stream, 0.5, 1200, 40),
        KindShare(RequestKind.check, 0.15, 400, 4),
        KindShare(RequestKind.batch, 0.15, 2000, 30),
        KindShare(RequestKind.call, 0.1, 40),
        KindShare(RequestKind.lookup, 0.1),
    ),
    rate_profile=(0.5, 0.8, 2.0, 1.2, 0.5),
)
# Filing deadline: drafting requests increase until the end of the run, and
# lodgements increase with them.
LEVY_MIX: Final = TrafficMix(
    name='levy',
    calls_service='lodgements',
    kinds=(
        KindShare(RequestKind.stream, 0.4, 1600, 48),
        KindShare(RequestKind.check, 0.2, 300, 4),
        KindShare(RequestKind.batch, 0.15, 3000, 40),
        KindShare(RequestKind.call, 0.15, 40),
        KindShare(RequestKind.lookup, 0.1),
    ),
    rate_profile=(0.4, 0.6, 0.9, 1.3, 1.8),
)
MIXES: Final = (HOOGWERK_MIX, LEVY_MIX)
