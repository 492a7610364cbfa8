"""What the callers of each deployment send."""

from typing import Final, final

import msgspec

from persimmonhold.load._request_kind import RequestKind


@final
class KindShare(msgspec.Struct, frozen=True):
    """The share of a kind, and the size of its requests."""

    kind: RequestKind
    share: float
    prompt_characters: int = 0
    max_tokens: int = 0


@final
class TrafficMix(msgspec.Struct, frozen=True, kw_only=True):
    """Kinds with their shares, and the rate over a run.

    `profile` gives the factor on the mean rate over equal parts of the run.
    """

    name: str
    calls_service: str
    kinds: tuple[KindShare, ...]
    rate_profile: tuple[float, ...]


# Lunch: trainees ask at once; marking goes on behind; bookings follow.
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
# Deadline: drafting rises to the end; lodgements rise with it.
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
