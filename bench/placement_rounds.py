"""Measures the time of one planning round by the size of the system.

Ledger, planner and issuer are measured together, as a leader runs them, with
demand that calls for further copies of some models. Run as
`python -m bench.placement_rounds --seed N --output FILE`.
"""

import argparse
import json
import random
import statistics
import time
from pathlib import Path
from typing import Final, NamedTuple

from persimmonhold.catalogue import (
    Accelerator,
    Catalogue,
    CatalogueEntry,
    ModelEntry,
    StoredEntry,
    UpstreamEntry,
)
from persimmonhold.messages import (
    Copy,
    CopyState,
    Demand,
    HeldItem,
    Inventory,
    Residency,
)
from persimmonhold.placement import (
    PRESETS,
    PlacementLeader,
    PlacementState,
)

_GIGABYTE: Final = 1_000_000_000
_MODEL_BYTES: Final = 18 * _GIGABYTE
_MEMORY_BYTES: Final = 80 * _GIGABYTE
_ROUNDS: Final = 5
# Converts seconds to milliseconds and milliseconds to microseconds.
_MS: Final = 1000


class SystemSize(NamedTuple):
    """Numbers of models, engines, accelerators and copies to measure with."""

    models: int
    engines: int
    accelerators_per_engine: int
    copies_per_accelerator: int


SIZES: Final = (
    SystemSize(20, 9, 1, 3),
    SystemSize(30, 9, 1, 4),
    SystemSize(220, 100, 8, 2),
    SystemSize(220, 825, 8, 2),
    SystemSize(220, 1650, 8, 2),
    SystemSize(220, 3300, 8, 2),
    SystemSize(220, 6600, 8, 1),
    SystemSize(220, 6600, 8, 2),
)


class TimingResult(NamedTuple):
    """Times measured at one system size; written as JSON."""

    models: int
    accelerators: int
    copies: int
    adopt_ms: float
    plan_ms: float
    plan_max_ms: float
    poll_ms: float


def measure(size: SystemSize, seed: int) -> TimingResult:
    """Time planning rounds of a leader that has read every inventory."""
    rng = random.Random(seed)
    state = _build_state(size)
    leader = PlacementLeader(PRESETS['levy'], state, 0)
    for upstream in leader.issuer.watches:
        _record_inventory(leader, upstream, state)
    apply_ms: list[float] = []
    plan_ms: list[float] = []
    poll_ms: list[float] = []
    demand = _draw_demand(size, rng)
    for turn in range(1, _ROUNDS + 1):
        now = float(turn)
        state = PlacementState(
            state.index + 1,
            state.catalogue,
            state.copies,
            state.orders,
        )
        started_at = time.perf_counter()
        leader.apply_state(state, now)
        applied_at = time.perf_counter()
        leader.poll(bool, now)
        polled_at = time.perf_counter()
        leader.plan(demand, bool, now, now)
        planned_at = time.perf_counter()
        apply_ms.append((applied_at - started_at) * _MS)
        poll_ms.append((polled_at - applied_at) * _MS)
        plan_ms.append((planned_at - polled_at) * _MS)
    return TimingResult(
        size.models,
        size.engines * size.accelerators_per_engine,
        len(state.copies),
        statistics.median(apply_ms),
        statistics.median(plan_ms),
        max(plan_ms),
        statistics.median(poll_ms),
    )


def _build_state(size: SystemSize) -> PlacementState:
    entries: dict[str, CatalogueEntry] = {}
    for index in range(size.models):
        name = f'model-{index:03}'
        entries[name] = ModelEntry(
            name=name,
            owner='bench',
            version='1',
            weight_bytes=_MODEL_BYTES,
            kv_floor_bytes=0,
        )
    for index in range(size.engines):
        name = f'engine-{index:04}'
        entries[name] = UpstreamEntry(
            name=name,
            owner='bench',
            address='127.0.0.1:1',
            failure_domain=f'domain-{index % 8}',
            accelerators=tuple(
                Accelerator(name=f'a{place}', memory_bytes=_MEMORY_BYTES)
                for place in range(size.accelerators_per_engine)
            ),
        )
    stored = {name: StoredEntry(1, entry) for name, entry in entries.items()}
    return PlacementState(1, Catalogue(1, stored), _build_copies(size), {})


def _build_copies(size: SystemSize) -> dict[tuple[str, str, str, str], Copy]:
    total = size.engines * size.accelerators_per_engine
    copies: dict[tuple[str, str, str, str], Copy] = {}
    for position in range(total * size.copies_per_accelerator):
        engine, position_in_engine = divmod(
            position % total, size.accelerators_per_engine
        )
        model = (position + position // total) % size.models
        copy = Copy(
            target=f'model-{model:03}',
            version='1',
            upstream=f'engine-{engine:04}',
            accelerator=f'a{position_in_engine}',
            state=CopyState.serving,
            fence=1,
            memory_bytes=_MODEL_BYTES,
        )
        key = (copy.target, '1', copy.upstream, copy.accelerator)
        copies[key] = copy
    return copies


def _record_inventory(
    leader: PlacementLeader,
    upstream: str,
    state: PlacementState,
) -> None:
    engine_watch = leader.issuer.watches[upstream]
    held = tuple(
        HeldItem(
            accelerator=copy.accelerator,
            target=copy.target,
            version=copy.version,
            memory_bytes=copy.memory_bytes,
            residency=Residency.ready,
            fence=1,
        )
        for copy in leader.issuer.copies_at(upstream)
    )
    engine_watch.begin_read(0)
    inventory = Inventory(boot_id='b', highest_fence=10**9, held=held)
    engine_watch.record_inventory(inventory, state.index, 0)


def _draw_demand(size: SystemSize, rng: random.Random) -> tuple[Demand, ...]:
    fair_share = size.engines * size.accelerators_per_engine / size.models
    return tuple(
        Demand(
            target=f'model-{index:03}',
            requests_per_second=1,
            prompt_tokens_per_second=0,
            output_tokens_per_second=400 * fair_share * rng.uniform(0.1, 1.2),
        )
        for index in range(size.models)
    )


def main() -> None:
    """Measure all sizes; print a table and the planning time per copy."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--output', default='')
    options = parser.parse_args()
    timings = [measure(size, options.seed) for size in SIZES]
    print_table(timings)
    last, half = timings[-1], timings[-3]
    slope = (last.plan_ms - half.plan_ms) / (last.copies - half.copies)
    print(f'slope of planning: {slope * _MS:.2f} us a copy')
    if options.output:
        document = {
            'seed': options.seed,
            'timings': [timing._asdict() for timing in timings],
            'plan_us_per_copy': slope * _MS,
        }
        Path(options.output).write_text(json.dumps(document, indent=1))


def print_table(timings: list[TimingResult]) -> None:
    """Print a table with one line for each size."""
    print('models accelerators copies  adopt ms  plan ms (max)  poll ms')
    for row in timings:
        print(
            f'{row.models:6} {row.accelerators:12} {row.copies:6} '
            f'{row.adopt_ms:9.1f} {row.plan_ms:8.1f} ({row.plan_max_ms:.1f}) '
            f'{row.poll_ms:8.1f}',
        )


if __name__ == '__main__':
    main()
