"""Simulates a deployment in virtual time under a seeded workload."""

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
_FAILURE_DOMAINS: Final = ('d0', 'd1', 'd2')
_WARM_UP_S: Final = 10.0
_COOL_DOWN_S: Final = 25.0
_COPIES_PER_MODEL: Final = 3
_PREFIXES_PER_MODEL: Final = 24
_UNIQUE_PROMPT_TOKENS: Final = 32


@final
class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of callers: share, output tokens and time limit by class.

    The classes are ordered interactive, check, batch.
    """

    shares: tuple[float, ...] = (0.4, 0.1, 0.5)
    output_tokens: tuple[int, ...] = (40, 8, 40)
    time_limits_s: tuple[float, ...] = (30.0, 3.0, 20.0)
    prefix_block_count: int = 2
    caller_count: int = 60
    duration_s: float = 60.0


@final
class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one simulation; `load` is the fraction of capacity."""

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
    """Results of one simulation; attainment is by service class."""

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
    """Return the requests per second at full batches without cache hits."""
    output = sum(
        share * tokens
        for share, tokens in zip(
            workload.shares,
            workload.output_tokens,
            strict=True,
        )
    )
    prompt = workload.prefix_block_count * BLOCK_TOKENS + _UNIQUE_PROMPT_TOKENS
    prefill_s = prompt / PREFILL_TOKENS_PER_S
    return engines / (output * STEP_S / SLOTS + prefill_s)


def run_scenario(scenario: Scenario) -> Outcome:
    """Run a scenario and measure the requests that arrive after the warm-up.

    Requests keep arriving for `_COOL_DOWN_S` after the measured ones, so that
    the load stays the same while these end.
    """
    clock = VirtualClock()
    engines = _build_engines(scenario, clock)
    entries = _build_entries(scenario, clock, engines)
    for position, entry in enumerate(entries):
        entry.start(position / 100)
    requests = _draw_requests(scenario)
    rng = random.Random(scenario.seed + 1)
    for arriving in requests:
        submit = partial(rng.choice(entries).submit, arriving)
        clock.call_at(arriving.arrived_at, submit)
    end = int(_WARM_UP_S + scenario.workload.duration_s)
    batch_sizes: list[list[int]] = []
    for second in range(int(_WARM_UP_S), end):
        clock.run_until(second)
        batch_sizes.append([len(engine.batch) for engine in engines.values()])
    clock.run_until(end + _COOL_DOWN_S)
    measured = [
        request
        for request in requests
        if _WARM_UP_S <= request.arrived_at < end
    ]
    return _build_outcome(scenario, measured, engines, entries, batch_sizes)


def _build_engines(
    scenario: Scenario,
    clock: VirtualClock,
) -> dict[str, FakeEngine]:
    names = [f'e{number}' for number in range(scenario.engine_count)]
    return {
        name: FakeEngine(name, clock, scenario.event_loss) for name in names
    }


def _build_outcome(
    scenario: Scenario,
    measured: Sequence[SimulatedRequest],
    engines: dict[str, FakeEngine],
    entries: Sequence[FakeEntry],
    batch_sizes: list[list[int]],
) -> Outcome:
    refused: Counter[str] = Counter()
    for fake_entry in entries:
        refused.update(fake_entry.refused)
    interactive = [
        request for request in measured if request.service_class is _CLASSES[0]
    ]
    imbalances = list(map(_imbalance, batch_sizes))
    prompt_tokens = sum(engine.prompt_tokens for engine in engines.values())
    hit_tokens = sum(engine.hit_tokens for engine in engines.values())
    return Outcome(
        attainment={
            service_class.value: _attained_share(measured, service_class)
            for service_class in _CLASSES
        },
        goodput_per_s=_count_attained(measured) / scenario.workload.duration_s,
        offered_per_s=len(measured) / scenario.workload.duration_s,
        hit_share=hit_tokens / max(1, prompt_tokens),
        imbalance=sum(imbalances) / len(imbalances),
        refused=dict(refused),
        late_first_token_share=_true_share(
            map(SimulatedRequest.is_first_token_late, interactive)
        ),
        late_gap_share=_true_share(map(_has_late_gaps, interactive)),
        preemptions=sum(entry.preemptions for entry in entries),
    )


def _true_share(verdicts: Iterable[bool]) -> float:
    values = list(verdicts)
    return sum(values) / max(1, len(values))


def _imbalance(batch_sizes: list[int]) -> float:
    """Return the size of the largest batch relative to the mean."""
    return max(batch_sizes) * len(batch_sizes) / max(1, sum(batch_sizes))


def _count_attained(requests: Sequence[SimulatedRequest]) -> int:
    return sum(request.has_met_bounds() for request in requests)


def _attained_share(
    requests: Sequence[SimulatedRequest], service_class: ServiceClass
) -> float:
    requests_of_class = [
        request
        for request in requests
        if request.service_class is service_class
    ]
    return _count_attained(requests_of_class) / max(1, len(requests_of_class))


def _has_late_gaps(request: SimulatedRequest) -> bool:
    if request.ended_at is None or request.is_first_token_late():
        return False
    return not request.has_met_bounds()


def _build_entries(
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
    entry_type = (
        RoundRobinEntry
        if scenario.policy == 'round_robin'
        else LeastReportedEntry
    )
    return [
        entry_type(clock, engines, lag_s, holders)
        for _ in range(scenario.entry_count)
    ]


def build_view(engines: int, entries: int) -> ControlView:
    """Return a view with one model per engine and three copies of each."""
    catalogue = Catalogue()
    copies: list[Copy] = []
    for number in range(engines):
        catalogue = catalogue.with_entry(_build_engine_entry(number))
        catalogue = catalogue.with_entry(_build_model_entry(number))
        holders = range(number, number + min(engines, _COPIES_PER_MODEL))
        copies.extend(
            _build_copy(number, holder % engines) for holder in holders
        )
    names = [f'v{entry}' for entry in range(entries)]
    return ControlView(
        index=1,
        catalogue=catalogue,
        copies=tuple(copies),
        vms=tuple(
            VmRecord(
                name=name,
                failure_domain=_FAILURE_DOMAINS[
                    position % len(_FAILURE_DOMAINS)
                ],
                callers='127.0.0.1:1',
            )
            for position, name in enumerate(names)
        ),
    )


def _build_engine_entry(number: int) -> UpstreamEntry:
    return UpstreamEntry(
        name=f'e{number}',
        owner='o',
        address='127.0.0.1:1',
        failure_domain=_FAILURE_DOMAINS[number % len(_FAILURE_DOMAINS)],
        accelerators=(Accelerator(name='a0', memory_bytes=1),),
    )


def _build_model_entry(number: int) -> ModelEntry:
    return ModelEntry(
        name=f'm{number}',
        owner='o',
        version='1',
        weight_bytes=1,
        kv_floor_bytes=1,
    )


def _build_copy(model: int, engine: int) -> Copy:
    return Copy(
        target=f'm{model}',
        version='1',
        upstream=f'e{engine}',
        accelerator='a0',
        state=CopyState.serving,
        fence=1,
    )


def _draw_requests(scenario: Scenario) -> list[SimulatedRequest]:
    rng = random.Random(scenario.seed)
    workload = scenario.workload
    rate = scenario.load * capacity_per_s(workload, scenario.engine_count)
    end = _WARM_UP_S + workload.duration_s + _COOL_DOWN_S
    requests: list[SimulatedRequest] = []
    now = rng.expovariate(rate)
    while now < end:
        requests.append(_draw_request(scenario, rng, len(requests), now))
        now += rng.expovariate(rate)
    return requests


def _draw_request(
    scenario: Scenario,
    rng: random.Random,
    number: int,
    now: float,
) -> SimulatedRequest:
    workload = scenario.workload
    class_indexes = range(len(_CLASSES))
    class_index = rng.choices(class_indexes, workload.shares)[0]
    model = rng.randrange(scenario.engine_count)
    request = SimulatedRequest(
        number,
        f'm{model}',
        _CLASSES[class_index],
        now,
        workload.time_limits_s[class_index],
    )
    request.caller = f'c{int(workload.caller_count * rng.random() ** 2)}'
    prefix = rng.randrange(_PREFIXES_PER_MODEL)
    first_block = (
        model * _PREFIXES_PER_MODEL + prefix
    ) * workload.prefix_block_count + 1
    request.prompt_blocks = tuple(
        range(first_block, first_block + workload.prefix_block_count)
    )
    request.prompt_tokens = (
        len(request.prompt_blocks) * BLOCK_TOKENS + _UNIQUE_PROMPT_TOKENS
    )
    request.output_tokens = workload.output_tokens[class_index]
    return request
