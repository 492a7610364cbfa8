"""Plans an open-loop run, in which arrivals do not wait for responses.

For given parameters the plan depends on the seed alone. A caller's prompts
begin with the same text, so that prefix caches get hits.
"""

import bisect
import itertools
import random
from typing import Final, final

from persimmonhold.load._planned_request import PlannedRequest
from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._traffic_mix import KindShare, TrafficMix

_CALLER_COUNT: Final = 40
_LOOKUP_SERVICE: Final = 'status'
_ZIPF_EXPONENT: Final = 0.9


@final
class Schedule:
    """Generates the requests of a run from a traffic mix and a seed."""

    __slots__ = ('_failure_domains', '_mix', '_random', '_seed', '_targets')

    def __init__(
        self,
        mix: TrafficMix,
        targets: dict[RequestKind, tuple[str, ...]],
        failure_domains: tuple[str, ...],
        seed: int,
    ) -> None:
        """Create a schedule of the traffic `mix`.

        `targets` lists the models, adapters or services that requests of a
        kind may name, the most popular first. Each request gets a random one
        of `failure_domains`.
        """
        self._mix = mix
        self._targets = targets
        self._failure_domains = failure_domains
        self._seed = seed
        self._random = random.Random(seed)

    def plan_requests(
        self,
        rate_per_s: float,
        duration_s: float,
    ) -> tuple[PlannedRequest, ...]:
        """Return the requests of a run, sorted by due time.

        The gaps between arrivals are exponentially distributed. Their rate
        follows the rate profile of the mix and has the mean `rate_per_s`.
        """
        kinds = [
            share for share in self._mix.kinds if self._has_target(share.kind)
        ]
        weights = [share.share for share in kinds]
        planned: list[PlannedRequest] = []
        at_s = 0.0
        while True:
            rate = self._rate_at(at_s, rate_per_s, duration_s)
            at_s += self._random.expovariate(rate)
            if at_s >= duration_s:
                return tuple(planned)
            share = self._random.choices(kinds, weights)[0]
            planned.append(self._build_request(len(planned), at_s, share))

    def _has_target(self, kind: RequestKind) -> bool:
        return bool(self._targets.get(kind))

    def _rate_at(
        self, at_s: float, mean_rate_per_s: float, duration_s: float
    ) -> float:
        """Return the rate at `at_s`, by the rate profile of the mix."""
        profile = self._mix.rate_profile
        interval = min(int(at_s / duration_s * len(profile)), len(profile) - 1)
        return mean_rate_per_s * profile[interval] * len(profile) / sum(profile)

    def _build_request(
        self,
        request_number: int,
        at_s: float,
        share: KindShare,
    ) -> PlannedRequest:
        caller = f'caller-{self._random.randrange(_CALLER_COUNT)}'
        is_call = share.kind is RequestKind.call
        return PlannedRequest(
            at_s=at_s,
            kind=share.kind,
            target=self._pick_target(share.kind),
            caller=caller,
            failure_domain=self._random.choice(self._failure_domains),
            time_limit_s=share.kind.time_limit_s,
            key=f'{self._seed}-{request_number}' if is_call else '',
            prompt=self._build_prompt(request_number, caller, share),
            max_tokens=share.max_tokens,
        )

    def _pick_target(self, kind: RequestKind) -> str:
        """Pick a target by a Zipf distribution; the first is most likely."""
        names = self._targets[kind]
        weights = [
            1 / (rank + 1) ** _ZIPF_EXPONENT for rank in range(len(names))
        ]
        cumulative = list(itertools.accumulate(weights))
        drawn = self._random.random() * cumulative[-1]
        return names[bisect.bisect(cumulative, drawn)]

    def _build_prompt(
        self, request_number: int, caller: str, share: KindShare
    ) -> str:
        if not share.prompt_characters:
            return ''
        text = f'{caller} asks about the schedule in force. '
        repeats = share.prompt_characters // len(text) + 1
        return (text * repeats)[
            : share.prompt_characters
        ] + f' #{request_number}'
