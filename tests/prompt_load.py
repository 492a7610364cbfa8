"""Simulates entries and engines with prompt caches, in virtual time.

Engines batch continuously, read prompts in chunks between the decode steps, and
evict the least recently used prompt parts. Entries learn of each other's load
by reports every 0.1 s, as they do from the fleet controller.
"""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from typing import TypeAlias

import msgspec

from persimmonhold.fleet import (
    AttemptEnd,
    DispatchRequest,
    FleetDemand,
    FleetDemandMeter,
    ForwardAction,
    ForwardDispatcher,
    RefuseRequest,
    RetryBounds,
    SendRequest,
    UpstreamFacts,
)
from tests.fleet_builders import make_facts, make_update
from tests.prompt_builders import make_prompt

SLOTS = 16
_SPEEDS = (19_100, 29_400, 38_400, 40_800)  # prompt tokens/s
_STEP_S = 0.0052
_STEP_PER_STREAM_S = 0.0002
_CHUNK_TOKENS = 2048
_CACHE_TOKENS = 100_000
_REPORT_S = 0.1
_QUEUE_S = 0.02
_Slowdown: TypeAlias = Callable[[str, float], float]
_Handle: TypeAlias = Callable[[float], None]
_Prefix: TypeAlias = tuple[str, ...]
_DOMAINS = ('d1', 'd2', 'd3')
_COPIES = 6  # of each model
_OUTPUT_TOKENS = (288, 24)
_SYSTEM_TOKENS = (198, 568)
_OWN_TOKENS = (628, 1800)
_SESSION_SHARE = 0.3
_MAX_SESSIONS = 200


class CachedStream:
    """A request at an engine; `first_s` is the time to its first event."""

    def __init__(self, request: DispatchRequest, tokens: int) -> None:
        self.request = request
        self.tokens_left = tokens
        self.unread_tokens = 0
        self.sent_at = 0.0
        self.first_s: float | None = None
        self.upstream = ''
        self.entry = 0

    @property
    def prefixes(self) -> list[tuple[_Prefix, int]]:
        """The prefix of each part, and the tokens of the part."""
        profile = self.request.profile
        key: _Prefix = (profile.model, profile.adapter)
        found = []
        for part, tokens in zip(
            profile.prompt_parts, profile.part_tokens, strict=True
        ):
            key = (*key, part)
            found.append((key, tokens))
        return found


class CachingEngine:
    """An engine with a prompt cache; `cached` has the latest use last."""

    def __init__(self, tokens_per_s: float) -> None:
        self.tokens_per_s = tokens_per_s
        self.cached: dict[_Prefix, int] = {}
        self.waiting: deque[CachedStream] = deque()
        self.reading: deque[CachedStream] = deque()
        self.running: list[CachedStream] = []
        self.is_stepping = False

    def find_cached(self, stream: CachedStream) -> int:
        """Return how many parts of a prompt are cached."""
        count = 0
        for prefix, _ in stream.prefixes:
            if prefix not in self.cached:
                break
            count += 1
        return count

    def step(self, slowdown: float) -> tuple[float, list[CachedStream]]:
        """Run a batch step; return its seconds and the streams with a token."""
        while self.waiting and len(self.reading) + len(self.running) < SLOTS:
            self._admit(self.waiting.popleft())
        room = _CHUNK_TOKENS
        begun = []
        while self.reading and room:
            stream = self.reading[0]
            read = min(room, stream.unread_tokens)
            stream.unread_tokens -= read
            room -= read
            if not stream.unread_tokens:
                begun.append(self.reading.popleft())
        read = _CHUNK_TOKENS - room
        self.running.extend(begun)
        moved = self.running
        for stream in moved:
            stream.tokens_left -= 1
        self.running = [one for one in moved if one.tokens_left > 0]
        step_s = _STEP_S + _STEP_PER_STREAM_S * len(moved)
        return (step_s + read / self.tokens_per_s) * slowdown, moved

    def _admit(self, stream: CachedStream) -> None:
        hits = self.find_cached(stream)
        prefixes = stream.prefixes
        stream.unread_tokens = 1 + sum(tokens for _, tokens in prefixes[hits:])
        # A request behind this one finds the parts that this one reads.
        for prefix, tokens in prefixes:
            self.cached.pop(prefix, None)
            self.cached[prefix] = tokens
        while sum(self.cached.values()) > _CACHE_TOKENS:
            self.cached.pop(next(iter(self.cached)))
        self.reading.append(stream)


def _place_models(
    engines: tuple[str, ...], models: int, domains: int
) -> dict[str, UpstreamFacts]:
    """Return facts of engines in several failure domains with models."""
    held: dict[str, list[str]] = {name: [] for name in engines}
    copies = len(engines) if models == 1 else min(len(engines), _COPIES)
    places = itertools.islice(itertools.cycle(engines), models * copies)
    for place, holder in enumerate(places):
        held[holder].append(f'm{place // copies}')
    return {
        engine: msgspec.structs.replace(
            make_facts(engine, models=tuple(models_held), slots=SLOTS),
            # Not in step with the speeds of the engines.
            failure_domain=_DOMAINS[number // 2 % domains],
        )
        for number, (engine, models_held) in enumerate(held.items())
    }


class LoadCounts:
    """What was measured of a load.

    `read_again` are the tokens of parts that were read although some engine
    had them cached, `found` those that were found cached. `other_domain` counts
    the requests that were sent to another failure domain.
    """

    def __init__(self) -> None:
        self.read_again = 0
        self.found = 0
        self.sent = 0
        self.other_domain = 0
        self.refused = 0


class PromptLoad:
    """Runs a load on entries that share engines.

    `slowdown` returns the factor by which an engine is slower at a time.
    """

    def __init__(
        self,
        entries: int,
        engines: int,
        seed: int,
        *,
        is_learning: bool,
        slowdown: _Slowdown | None = None,
        models: int = 15,
        systems: int = 6,
        domains: int = 3,
    ) -> None:
        self.rng = random.Random(seed)
        self.slowdown = slowdown
        self.variety = (models, systems)
        self.engines = {
            f'u{one}': CachingEngine(_SPEEDS[one % len(_SPEEDS)])
            for one in range(engines)
        }
        self.facts = _place_models(tuple(self.engines), models, domains)
        self.entries = [
            ForwardDispatcher(
                _DOMAINS[one % domains],
                RetryBounds(),
                random.Random(1000 * seed + one),
                is_learning=is_learning,
            )
            for one in range(entries)
        ]
        for entry in self.entries:
            entry.chooser.preference.entry_count = entries
            entry.apply_update(make_update(*self.facts.values()), 0)
        self.meters = [FleetDemandMeter() for _ in self.entries]
        self.demand = FleetDemand()
        self.order = itertools.count()
        self.events: list[tuple[float, int, _Handle]] = []
        self.streams: dict[int, CachedStream] = {}
        self.sessions: deque[tuple[int, int, str, int]] = deque(
            maxlen=_MAX_SESSIONS
        )
        self.counts = LoadCounts()
        self.per_s = 0.0
        self.has_reports = True
        self.now = 0.0
        self._schedule(0, self._exchange_reports)

    def run(self, until: float, per_s: float) -> None:
        """Run a load from now until a time."""
        self.events = [
            one for one in self.events if one[2].__name__ != '_arrive'
        ]
        heapq.heapify(self.events)
        self.per_s = per_s
        self._schedule(self.now, self._arrive)
        while self.events and self.events[0][0] < until:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[-1](self.now)
        self.now = until

    def restart(self, name: str) -> None:
        """Restart an engine; its requests are lost."""
        engine = self.engines[name]
        engine.cached.clear()
        lost = [*engine.waiting, *engine.reading, *engine.running]
        engine.waiting.clear()
        engine.reading.clear()
        engine.running = []
        for stream in lost:
            entry = self.entries[stream.entry]
            number = stream.request.number
            self._perform(
                entry.finish_request(number, AttemptEnd.unreachable, self.now)
            )
        facts = self.facts[name]
        self.facts[name] = msgspec.structs.replace(
            facts, born_ms=facts.born_ms + 1
        )
        self._send_facts(self.facts[name])

    def late_share(self, since: float, until: float, limit_s: float) -> float:
        """Return the share of requests without a first event in time."""
        sent = [
            one
            for one in self.streams.values()
            if since <= one.request.arrived_at < until
        ]
        late = [one for one in sent if (one.first_s or math.inf) > limit_s]
        return len(late) / len(sent)

    def share_of(self, name: str, since: float, until: float) -> float:
        """Return the share of an engine in the requests that were sent."""
        sent = [
            one.upstream
            for one in self.streams.values()
            if one.upstream and since <= one.sent_at < until
        ]
        return sent.count(name) / len(sent)

    def _schedule(self, at: float, handle: _Handle) -> None:
        heapq.heappush(self.events, (at, next(self.order), handle))

    def _send_facts(self, *facts: UpstreamFacts) -> None:
        sequence = next(self.order) + 2
        for number, entry in enumerate(self.entries):
            update = msgspec.structs.replace(
                make_update(*facts, sequence=sequence),
                base=1,
                others=self.demand.sum_other_loads(f'e{number}'),
                waiting=self.demand.sum_other_waiting(f'e{number}'),
                speeds=self.demand.speeds.list_changes(self.now),
            )
            self._perform(entry.apply_update(update, self.now))

    def _exchange_reports(self, now: float) -> None:
        self._schedule(now + _REPORT_S, self._exchange_reports)
        if not self.has_reports:
            return
        for number, entry in enumerate(self.entries):
            report = self.meters[number].build_report(entry, now)
            self.demand.record_report(f'e{number}', report, now)
        self._send_facts()

    def _arrive(self, now: float) -> None:
        self._schedule(now + self.rng.expovariate(self.per_s), self._arrive)
        if self.sessions and self.rng.random() < _SESSION_SHARE:
            model, system, own, kind = self.rng.choice(self.sessions)
        else:
            # Popular models and systems get most requests.
            model, system = (
                int(count * self.rng.random() ** 2) for count in self.variety
            )
            own = f'{self.rng.getrandbits(60):x}'
            kind = self.rng.choice((0, 0, 0, 1))
            self.sessions.append((model, system, own, kind))
        number = len(self.streams) + 1
        request = make_prompt(
            number,
            ('ba5e', _SYSTEM_TOKENS[kind] // 2),
            (f'{kind}{system:x}', _SYSTEM_TOKENS[kind] // 2),
            (own, _OWN_TOKENS[kind]),
            now=now,
            model=f'm{model}',
        )
        stream = CachedStream(request, _OUTPUT_TOKENS[kind])
        stream.entry = self.rng.randrange(len(self.entries))
        self.streams[number] = stream
        entry = self.entries[stream.entry]
        self._perform(entry.submit_request(request, now))

    def _perform(self, actions: tuple[ForwardAction, ...]) -> None:
        for action in actions:
            if isinstance(action, SendRequest):
                self._send(action)
            elif isinstance(action, RefuseRequest):
                self.counts.refused += 1
            entry = self.entries[self.streams[action.number].entry]
            if entry.next_dispatch_at() is not None:
                self._schedule_dispatch(entry)

    def _schedule_dispatch(self, entry: ForwardDispatcher) -> None:
        self._schedule(
            self.now + _QUEUE_S,
            lambda now: self._perform(entry.dispatch_waiting(now)),
        )

    def _send(self, action: SendRequest) -> None:
        name = action.upstream.name
        stream = self.streams[action.number]
        stream.upstream = name
        stream.sent_at = self.now
        domain = self.entries[stream.entry].chooser.preference.failure_domain
        self.counts.sent += 1
        self.counts.other_domain += action.upstream.failure_domain != domain
        model = stream.request.profile.model
        hits = self.engines[name].find_cached(stream)
        best = max(
            self.engines[one.name].find_cached(stream)
            for one in self.facts.values()
            if one.find_model(model) is not None
        )
        parts = [tokens for _, tokens in stream.prefixes]
        self.counts.found += sum(parts[:hits])
        self.counts.read_again += sum(parts[hits:best])
        engine = self.engines[name]
        engine.waiting.append(stream)
        if not engine.is_stepping:
            engine.is_stepping = True
            self._schedule(self.now, lambda now: self._step(name, now))

    def _step(self, name: str, now: float) -> None:
        engine = self.engines[name]
        slowdown = self.slowdown(name, now) if self.slowdown else 1
        step_s, moved = engine.step(slowdown)
        engine.is_stepping = bool(moved or engine.reading or engine.waiting)
        if not engine.is_stepping:
            return
        ends_at = now + step_s
        self._schedule(ends_at, lambda at: self._end_step(name, moved, at))

    def _end_step(
        self, name: str, moved: list[CachedStream], now: float
    ) -> None:
        for stream in moved:
            if stream.upstream != name:
                continue
            entry = self.entries[stream.entry]
            number = stream.request.number
            if stream.first_s is None:
                stream.first_s = now - stream.request.arrived_at
                entry.record_first_byte(number, now)
            if stream.tokens_left <= 0:
                self._perform(
                    entry.finish_request(number, AttemptEnd.answered, now)
                )
        self._step(name, now)
