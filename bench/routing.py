"""Routing: stale reports, prefix hits, cost of a decision, size of state.

Run `python -m bench.routing --seed N`. Parts: `lag` (attainment at 0.8 of
capacity, nine entries, reports 0 to 2 s old), `hits` (share of prompt tokens
found in prefix caches, by loss of cache events), `cost` (decisions a second
and bytes of state by number of upstreams) and `subset` (connections and poll
traffic at 540 entries and 6,600 upstreams).
"""

import argparse
import pathlib
import random
import time
import tracemalloc
from collections import Counter
from typing import Any, Final

import msgspec

from bench.admission import mean_and_range
from bench.routing_world import POLICIES, Scenario, Workload, fleet_view, run
from persimmonhold.admission import (
    AdmissionRequest,
    Dispatcher,
    DispatcherSettings,
)
from persimmonhold.catalogue import ServiceClass
from persimmonhold.messages import ControlView, Copy, CopyState
from persimmonhold.routing import (
    AttemptOutcome,
    Router,
    RouterSettings,
)

_REPEATS: Final = 5
_SECONDS: Final = 30.0
_LAGS_S: Final = (0.0, 0.25, 0.5, 1.0, 2.0, 20.0)
_LOSSES: Final = (0.0, 0.05, 0.2, 1.0)
_FLEETS: Final = (3, 9, 33, 99, 330)
_DECISIONS: Final = 5000
_QUEUED: Final = 400
_US_PER_S: Final = 1_000_000
_LARGE_ENTRIES: Final = 540
_LARGE_UPSTREAMS: Final = 6600
_LARGE_TARGETS: Final = 220
_SAMPLED_ENTRIES: Final = 30


def main() -> None:
    """Run the chosen parts."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--repeats', type=int, default=_REPEATS)
    parser.add_argument('--parts', default='lag,hits,cost,subset')
    parser.add_argument('--output', default='')
    options = parser.parse_args()
    parts = {
        'lag': _measure_lag,
        'hits': _measure_hits,
        'cost': _measure_cost,
        'subset': _measure_subset,
    }
    document: dict[str, Any] = {'seed': options.seed}
    for name in options.parts.split(','):
        document[name] = parts[name](options)
        print(name)
        for row in document[name]:
            print(*(f'{key}={_text(value)}' for key, value in row.items()))
    if options.output:
        encoded = msgspec.json.encode(document)
        pathlib.Path(options.output).write_bytes(encoded)


def _text(value: object) -> str:
    if isinstance(value, tuple):
        return '{:.3f} ({:.3f}-{:.3f})'.format(*value)
    return f'{value:.3f}' if isinstance(value, float) else str(value)


def _measure_lag(options: argparse.Namespace) -> list[dict[str, Any]]:
    return [
        {
            'lag_s': lag_s,
            'policy': policy,
            **_attained(options, policy, lag_s=lag_s),
        }
        for lag_s in _LAGS_S
        for policy in POLICIES
    ]


def _measure_hits(options: argparse.Namespace) -> list[dict[str, Any]]:
    rows = [
        {'loss': 0.0, 'policy': policy, **_attained(options, policy)}
        for policy in POLICIES[:2]
    ]
    rows.extend(
        {
            'loss': loss,
            'policy': POLICIES[2],
            **_attained(options, POLICIES[2], loss=loss),
        }
        for loss in _LOSSES
    )
    return rows


def _attained(
    options: argparse.Namespace,
    policy: str,
    lag_s: float = 0.25,
    loss: float = 0,
) -> dict[str, Any]:
    outcomes = [
        run(
            Scenario(
                policy=policy,
                load=0.8,
                seed=seed,
                lag_s=lag_s,
                event_loss=loss,
                workload=Workload(seconds=_SECONDS),
            ),
        )
        for seed in range(options.seed, options.seed + options.repeats)
    ]
    return {
        'interactive': mean_and_range([
            outcome.attainment['interactive'] for outcome in outcomes
        ]),
        'hit_share': mean_and_range([
            outcome.hit_share for outcome in outcomes
        ]),
        'imbalance': mean_and_range([
            outcome.imbalance for outcome in outcomes
        ]),
    }


def _measure_cost(options: argparse.Namespace) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for fleet in _FLEETS:
        costs_us = [
            _decision_us(fleet, seed)
            for seed in range(options.seed, options.seed + options.repeats)
        ]
        rows.append({
            'upstreams_of_target': fleet,
            'decision_us': mean_and_range(costs_us),
            'decisions_per_s': _US_PER_S / mean_and_range(costs_us)[0],
            'bytes_per_upstream': _upstream_bytes(fleet),
            'bytes_per_queued_request': _queued_bytes(fleet),
        })
    return rows


def _dispatcher(view: ControlView, seed: int, copies: int) -> Dispatcher:
    source = random.Random(seed)
    settings = RouterSettings(min_subset_endpoints=copies)
    router = Router('d0', 'v0', settings, source)
    router.apply_view(view, 0)
    dispatcher = Dispatcher(router, DispatcherSettings(), source)
    dispatcher.handle_view_change(0)
    return dispatcher


def _ticket(number: int, seed: int) -> AdmissionRequest:
    source = random.Random(number + seed)
    return AdmissionRequest(
        request_id=f'request {number}',
        caller=f'caller {number % 50}',
        owner='o',
        target='all',
        service_class=ServiceClass.check,
        deadline=1000,
        prompt_tokens=160,
        output_tokens=40,
        prefix_hashes=(f'{source.randrange(200):016x}',),
    )


def _view_of_one_target(fleet: int) -> ControlView:
    view = fleet_view(fleet, 1)
    copies = tuple(
        Copy(
            target='all',
            version='1',
            upstream=f'e{number}',
            accelerator='a0',
            state=CopyState.serving,
            fence=1,
        )
        for number in range(fleet)
    )
    return msgspec.structs.replace(view, copies=copies)


def _decision_us(fleet: int, seed: int) -> float:
    """Return the time of an arrival, a first token and an end together."""
    dispatcher = _dispatcher(_view_of_one_target(fleet), seed, fleet)
    tickets = [_ticket(number, seed) for number in range(_DECISIONS)]
    began = time.perf_counter()
    for ticket in tickets:
        dispatcher.submit(ticket, 1)
        dispatcher.record_first_token(ticket.request_id, 1.03)
        dispatcher.end_request(ticket.request_id, AttemptOutcome.completed, 1.5)
    return (time.perf_counter() - began) * _US_PER_S / _DECISIONS


def _upstream_bytes(fleet: int) -> int:
    """Return the bytes of one upstream whose prefix index is full."""
    view = _view_of_one_target(fleet)
    settings = RouterSettings()
    tracemalloc.start()
    router = Router('d0', 'v0', settings, random.Random(0))
    router.apply_view(view, 0)
    full = settings.prefix_blocks_per_upstream
    for position, state in enumerate(router.upstream_states.values()):
        first = (position + 1) * 2**40
        blocks = range(first, first + full)
        state.prefix_index.confirm_blocks([f'{block:016x}' for block in blocks])
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used // fleet


def _queued_bytes(fleet: int) -> int:
    """Return the bytes that a waiting request adds, its ticket included."""
    view = msgspec.structs.replace(_view_of_one_target(fleet), copies=())
    dispatcher = _dispatcher(view, 0, fleet)
    tracemalloc.start()
    for number in range(_QUEUED):
        dispatcher.submit(_ticket(number, 0), 1)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used // _QUEUED


def _measure_subset(options: argparse.Namespace) -> list[dict[str, Any]]:
    """Measure subsets of a sample of entries at the letter's size."""
    view = _large_view()
    rows: list[dict[str, Any]] = []
    for copies in (1, 2, 4):
        settings = RouterSettings(min_subset_endpoints=copies)
        used: Counter[str] = Counter()
        sizes: list[float] = []
        began = time.perf_counter()
        for entry in range(_SAMPLED_ENTRIES):
            source = random.Random(options.seed)
            name = f'v{options.seed}-{entry}'
            router = Router('d0', name, settings, source)
            router.apply_view(view, 0)
            subset = router.resize_subsets(0)
            sizes.append(len(subset))
            used.update(subset)
        view_s = (time.perf_counter() - began) / _SAMPLED_ENTRIES
        size = sum(sizes) / len(sizes)
        rows.append({
            'copies': copies,
            'subset': mean_and_range(sizes),
            'connections_per_upstream': size
            * _LARGE_ENTRIES
            / _LARGE_UPSTREAMS,
            'poll_round_s': size
            * settings.poll_size_bytes
            / settings.poll_bytes_per_second,
            'adopt_view_s': view_s,
        })
    return rows


def _large_view() -> ControlView:
    view = fleet_view(_LARGE_UPSTREAMS, 1)
    copies = tuple(
        Copy(
            target=f'm{number % _LARGE_TARGETS}',
            version='1',
            upstream=f'e{number}',
            accelerator='a0',
            state=CopyState.serving,
            fence=1,
        )
        for number in range(_LARGE_UPSTREAMS)
    )
    return msgspec.structs.replace(view, copies=copies)


if __name__ == '__main__':
    main()
