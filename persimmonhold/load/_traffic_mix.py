"""What the callers of each deployment send."""

from typing import Final, final

import msgspec

from persimmonhold.load._request_kind import RequestKind


@final
class KindShare(msgspec.Struct, frozen=True, kw_only=True):
    """The share of a kind, and the size of its requests."""

    kind: RequestKind
    share: float
    prompt_characters: int
    max_tokens: int
    deadline_s: float


@final
class TrafficMix(msgspec.Struct, frozen=True, kw_only=True):
    """Kinds with their shares, and the rate over a run.

    `profile` gives the factor on the mean rate over equal parts of the run.
    """

    name: str
    calls_service: str
    kinds: tuple[KindShare, ...]
    profile: tuple[float, ...]


# Lunch: trainees ask at once; marking goes on behind; bookings follow.
HOOGWERK_MIX: Final = TrafficMix(
    name='hoogwerk',
    calls_service='bookings',
    kinds=(
        KindShare(
            kind=RequestKind.stream,
            share=0.5,
            prompt_characters=1200,
            max_tokens=40,
            deadline_s=30,
        ),
        KindShare(
            kind=RequestKind.check,
            share=0.15,
            prompt_characters=400,
            max_tokens=4,
            deadline_s=3,
        ),
        KindShare(
            kind=RequestKind.batch,
            share=0.15,
            prompt_characters=2000,
            max_tokens=30,
            deadline_s=60,
        ),
        KindShare(
            kind=RequestKind.call,
            share=0.1,
            prompt_characters=40,
            max_tokens=0,
            deadline_s=10,
        ),
        KindShare(
            kind=RequestKind.lookup,
            share=0.1,
            prompt_characters=0,
            max_tokens=0,
            deadline_s=3,
        ),
    ),
    profile=(0.5, 0.8, 2.0, 1.2, 0.5),
)
# Deadline: drafting rises to the end; lodgements rise with it.
LEVY_MIX: Final = TrafficMix(
    name='levy',
    calls_service='lodgements',
    kinds=(
        KindShare(
            kind=RequestKind.stream,
            share=0.4,
            prompt_characters=1600,
            max_tokens=48,
            deadline_s=30,
        ),
        KindShare(
            kind=RequestKind.check,
            share=0.2,
            prompt_characters=300,
            max_tokens=4,
            deadline_s=3,
        ),
        KindShare(
            kind=RequestKind.batch,
            share=0.15,
            prompt_characters=3000,
            max_tokens=40,
            deadline_s=60,
        ),
        KindShare(
            kind=RequestKind.call,
            share=0.15,
            prompt_characters=40,
            max_tokens=0,
            deadline_s=10,
        ),
        KindShare(
            kind=RequestKind.lookup,
            share=0.1,
            prompt_characters=0,
            max_tokens=0,
            deadline_s=3,
        ),
    ),
    profile=(0.4, 0.6, 0.9, 1.3, 1.8),
)
MIXES: Final = (HOOGWERK_MIX, LEVY_MIX)
