"""A deployment in virtual time under a seeded workload."""

import random
from collections import Counter
from collections.abc import Iterable, Sequence
from functools import partial
from typing import Final, final

import msgspec

from bench.routing_entries import (
    DispatcherEntry,
    FakeEntry,
    LeastReportedEntry,
    RoundRobinEntry,
)
from bench.routing_fakes import (
    BLOCK_TOKENS,
    PREFILL_TOKENS_PER_S,
    SLOTS,
    STEP_S,
    FakeEngine,
    SimulatedRequest,
    VirtualClock,
)
from persimmonhold.catalogue import (
    Accelerator,
    Catalogue,
    ModelEntry,
    ServiceClass,
    UpstreamEntry,
)
from persimmonhold.messages import ControlView, Copy, CopyState, VmRecord

POLICIES: Final = ('round_robin', 'least_reported', 'persimmonhold')
_DOMAINS: Final = ('d0', 'd1', 'd2')
_WARM_UP_S: Final = 10.0
_AFTER_S: Final = 25.0
_COPIES: Final = 3
_PREFIXES: Final = 24
_OWN_TOKENS: Final = 32


@final
class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """What callers send; shares, tokens and windows by class.

    The order of the classes is interactive, check, batch.
    """

    shares: tuple[float, ...] = (0.4, 0.1, 0.5)
    output_tokens: tuple[int, ...] = (40, 8, 40)
    time_limits_s: tuple[float, ...] = (30.0, 3.0, 20.0)
    prefix_block_count: int = 2
    caller_count: int = 60
    duration_s: float = 60.0


@final
class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """One run."""

    policy: str
    load: float
    seed: int
    lag_s: float = 0.25
    entry_count: int = 9
    engine_count: int = 9
    event_loss: float = 0.0
    workload: Workload = Workload()


@final
class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What a run showed; shares are of the offered requests."""

    attainment: dict[str, float]
    goodput_per_s: float
    offered_per_s: float
    hit_share: float
    imbalance: float
    refused: dict[str, int]
    preemptions: int
    late_first_token_share: float
    late_gap_share: float


_CLASSES: Final = (
    ServiceClass.interactive,
    ServiceClass.check,
    ServiceClass.batch,
)


def capacity_per_s(workload: Workload, engines: int) -> float:
    """Return the requests a second that full batches end, none cached."""
    output = sum(
        share * tokens
        for share, tokens in zip(
            workload.shares,
            workload.output_tokens,
            strict=True,
        )
    )
    prompt = workload.prefix_block_count * BLOCK_TOKENS + _OWN_TOKENS
    prefill_s = prompt / PREFILL_TOKENS_PER_S
    return engines / (output * STEP_S / SLOTS + prefill_s)


def run_scenario(scenario: Scenario) -> Outcome:
    """Run a scenario and judge what arrived after the warm-up.

    The load goes on until the last judged request has ended.
    """
    clock = VirtualClock()
    engines = _engines(scenario, clock)
    entries = _entries(scenario, clock, engines)
    for position, polling in enumerate(entries):
        polling.start(position / 100)
    jobs = _jobs(scenario)
    source = random.Random(scenario.seed + 1)
    for arriving in jobs:
        arrive = partial(source.choice(entries).submit, arriving)
        clock.call_at(arriving.arrived, arrive)
    end = int(_WARM_UP_S + scenario.workload.duration_s)
    work: list[list[int]] = []
    for second in range(int(_WARM_UP_S), end):
        clock.run_until(second)
        work.append([len(engine.batch) for engine in engines.values()])
    clock.run_until(end + _AFTER_S)
    judged = [job for job in jobs if _WARM_UP_S <= job.arrived < end]
    return _outcome(scenario, judged, engines, entries, work)


def _engines(
    scenario: Scenario,
    clock: VirtualClock,
) -> dict[str, FakeEngine]:
    names = [f'e{number}' for number in range(scenario.engine_count)]
    return {
        name: FakeEngine(name, clock, scenario.event_loss) for name in names
    }


def _outcome(
    scenario: Scenario,
    judged: Sequence[SimulatedRequest],
    engines: dict[str, FakeEngine],
    entries: Sequence[FakeEntry],
    work: list[list[int]],
) -> Outcome:
    refused: Counter[str] = Counter()
    for refusing in entries:
        refused.update(refusing.refused)
    urgent = [job for job in judged if job.service_class is _CLASSES[0]]
    busy = list(map(_imbalance, work))
    read = sum(engine.prompt_tokens for engine in engines.values())
    hits = sum(engine.hit_tokens for engine in engines.values())
    return Outcome(
        attainment={
            service_class.value: _share_met(judged, service_class)
            for service_class in _CLASSES
        },
        goodput_per_s=_met(judged) / scenario.workload.duration_s,
        offered_per_s=len(judged) / scenario.workload.duration_s,
        hit_share=hits / max(1, read),
        imbalance=sum(busy) / len(busy),
        refused=dict(refused),
        late_first_token_share=_share(map(SimulatedRequest.is_late, urgent)),
        late_gap_share=_share(map(_has_late_gaps, urgent)),
        preemptions=sum(entry.preemptions for entry in entries),
    )


def _share(verdicts: Iterable[bool]) -> float:
    known = list(verdicts)
    return sum(known) / max(1, len(known))


def _imbalance(row: list[int]) -> float:
    """Return the fullest batch relative to the mean batch."""
    return max(row) * len(row) / max(1, sum(row))


def _met(jobs: Sequence[SimulatedRequest]) -> int:
    return sum(job.is_attained() for job in jobs)


def _share_met(
    jobs: Sequence[SimulatedRequest], service_class: ServiceClass
) -> float:
    own = [job for job in jobs if job.service_class is service_class]
    return _met(own) / max(1, len(own))


def _has_late_gaps(job: SimulatedRequest) -> bool:
    if job.ended_at is None or job.is_late():
        return False
    return not job.is_attained()


def _entries(
    scenario: Scenario,
    clock: VirtualClock,
    engines: dict[str, FakeEngine],
) -> list[FakeEntry]:
    view = build_view(scenario.engine_count, scenario.entry_count)
    holders: dict[str, list[str]] = {}
    for copy in view.copies:
        holders.setdefault(copy.target, []).append(copy.upstream)
    lag_s = scenario.lag_s
    if scenario.policy == 'persimmonhold':
        return [
            DispatcherEntry(clock, engines, lag_s, view, number)
            for number in range(scenario.entry_count)
        ]
    plain = (
        RoundRobinEntry
        if scenario.policy == 'round_robin'
        else LeastReportedEntry
    )
    return [
        plain(clock, engines, lag_s, holders)
        for _ in range(scenario.entry_count)
    ]


def build_view(engines: int, entries: int) -> ControlView:
    """Return as many models as engines, each on three engines."""
    catalogue = Catalogue()
    copies: list[Copy] = []
    for number in range(engines):
        catalogue = catalogue.with_entry(_engine(number))
        catalogue = catalogue.with_entry(_model(number))
        holders = range(number, number + min(engines, _COPIES))
        copies.extend(_copy(number, holder % engines) for holder in holders)
    names = [f'v{entry}' for entry in range(entries)]
    return ControlView(
        index=1,
        catalogue=catalogue,
        copies=tuple(copies),
        vms=tuple(
            VmRecord(
                name=name,
                failure_domain=_DOMAINS[position % len(_DOMAINS)],
                callers='127.0.0.1:1',
            )
            for position, name in enumerate(names)
        ),
    )


def _engine(number: int) -> UpstreamEntry:
    return UpstreamEntry(
        name=f'e{number}',
        owner='o',
        address='127.0.0.1:1',
        failure_domain=_DOMAINS[number % len(_DOMAINS)],
        accelerators=(Accelerator(name='a0', memory_bytes=1),),
    )


def _model(number: int) -> ModelEntry:
    return ModelEntry(
        name=f'm{number}',
        owner='o',
        version='1',
        weight_bytes=1,
        kv_floor_bytes=1,
    )


def _copy(model: int, holder: int) -> Copy:
    return Copy(
        target=f'm{model}',
        version='1',
        upstream=f'e{holder}',
        accelerator='a0',
        state=CopyState.serving,
        fence=1,
    )


def _jobs(scenario: Scenario) -> list[SimulatedRequest]:
    source = random.Random(scenario.seed)
    workload = scenario.workload
    rate = scenario.load * capacity_per_s(workload, scenario.engine_count)
    end = _WARM_UP_S + workload.duration_s + _AFTER_S
    jobs: list[SimulatedRequest] = []
    now = source.expovariate(rate)
    while now < end:
        jobs.append(_job(scenario, source, len(jobs), now))
        now += source.expovariate(rate)
    return jobs


def _job(
    scenario: Scenario,
    source: random.Random,
    number: int,
    now: float,
) -> SimulatedRequest:
    workload = scenario.workload
    kinds = range(len(_CLASSES))
    kind = source.choices(kinds, workload.shares)[0]
    model = source.randrange(scenario.engine_count)
    job = SimulatedRequest(
        number,
        f'm{model}',
        _CLASSES[kind],
        now,
        workload.time_limits_s[kind],
    )
    job.caller = f'c{int(workload.caller_count * source.random() ** 2)}'
    prefix = source.randrange(_PREFIXES)
    first = (model * _PREFIXES + prefix) * workload.prefix_block_count + 1
    job.blocks = tuple(range(first, first + workload.prefix_block_count))
    job.prompt_tokens = len(job.blocks) * BLOCK_TOKENS + _OWN_TOKENS
    job.output_tokens = workload.output_tokens[kind]
    return job
