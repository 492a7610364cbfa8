"""Measures routing: stale reports, prefix hits, decision cost, state size.

Run `python -m bench.routing --seed N`. Parts: `lag` (attainment at 0.8 of
capacity with nine entries and load reports 0 to 20 s old), `hits` (share of
prompt tokens found in prefix caches by loss rate of cache events), `cost`
(decisions per second and bytes of state by number of upstreams) and `subset`
(connections and polling interval at 540 entries and 6,600 upstreams).
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
from bench.routing_simulation import (
    POLICIES,
    Scenario,
    Workload,
    build_view,
    run_scenario,
)
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
_DURATION_S: Final = 30.0
_LAGS_S: Final = (0.0, 0.25, 0.5, 1.0, 2.0, 20.0)
_EVENT_LOSSES: Final = (0.0, 0.05, 0.2, 1.0)
_UPSTREAM_COUNTS: Final = (3, 9, 33, 99, 330)
_DECISIONS: Final = 5000
_QUEUED_REQUESTS: Final = 400
_US_PER_S: Final = 1_000_000
_LARGE_ENTRIES: Final = 540
_LARGE_UPSTREAMS: Final = 6600
_LARGE_TARGETS: Final = 220
_SAMPLED_ENTRIES: Final = 30


def main() -> None:
    """Run the selected parts, print their rows, optionally write JSON."""
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
            print(
                *(f'{key}={_format_value(value)}' for key, value in row.items())
            )
    if options.output:
        encoded = msgspec.json.encode(document)
        pathlib.Path(options.output).write_bytes(encoded)


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return '{:.3f} ({:.3f}-{:.3f})'.format(*value)
    return f'{value:.3f}' if isinstance(value, float) else str(value)


def _measure_lag(options: argparse.Namespace) -> list[dict[str, Any]]:
    return [
        {
            'lag_s': lag_s,
            'policy': policy,
            **_run_scenarios(options, policy, lag_s=lag_s),
        }
        for lag_s in _LAGS_S
        for policy in POLICIES
    ]


def _measure_hits(options: argparse.Namespace) -> list[dict[str, Any]]:
    rows = [
        {'loss': 0.0, 'policy': policy, **_run_scenarios(options, policy)}
        for policy in POLICIES[:2]
    ]
    rows.extend(
        {
            'loss': loss,
            'policy': POLICIES[2],
            **_run_scenarios(options, POLICIES[2], event_loss=loss),
        }
        for loss in _EVENT_LOSSES
    )
    return rows


def _run_scenarios(
    options: argparse.Namespace,
    policy: str,
    lag_s: float = 0.25,
    event_loss: float = 0,
) -> dict[str, Any]:
    outcomes = [
        run_scenario(
            Scenario(
                policy=policy,
                load=0.8,
                seed=seed,
                lag_s=lag_s,
                event_loss=event_loss,
                workload=Workload(duration_s=_DURATION_S),
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
    for upstream_count in _UPSTREAM_COUNTS:
        costs_us = [
            _measure_decision_us(upstream_count, seed)
            for seed in range(options.seed, options.seed + options.repeats)
        ]
        rows.append({
            'upstreams_of_target': upstream_count,
            'decision_us': mean_and_range(costs_us),
            'decisions_per_s': _US_PER_S / mean_and_range(costs_us)[0],
            'bytes_per_upstream': _measure_upstream_bytes(upstream_count),
            'bytes_per_queued_request': _measure_queued_bytes(upstream_count),
        })
    return rows


def _build_dispatcher(
    view: ControlView, seed: int, min_subset_endpoints: int
) -> Dispatcher:
    rng = random.Random(seed)
    settings = RouterSettings(min_subset_endpoints=min_subset_endpoints)
    router = Router('d0', 'v0', settings, rng)
    router.apply_view(view, 0)
    dispatcher = Dispatcher(router, DispatcherSettings(), rng)
    dispatcher.handle_view_change(0)
    return dispatcher


def _build_request(number: int, seed: int) -> AdmissionRequest:
    rng = random.Random(number + seed)
    return AdmissionRequest(
        request_id=f'request {number}',
        caller=f'caller {number % 50}',
        owner='o',
        target='all',
        service_class=ServiceClass.check,
        deadline=1000,
        prompt_tokens=160,
        output_tokens=40,
        prefix_hashes=(f'{rng.randrange(200):016x}',),
    )


def _build_single_target_view(upstream_count: int) -> ControlView:
    view = build_view(upstream_count, 1)
    copies = tuple(
        Copy(
            target='all',
            version='1',
            upstream=f'e{number}',
            accelerator='a0',
            state=CopyState.serving,
            fence=1,
        )
        for number in range(upstream_count)
    )
    return msgspec.structs.replace(view, copies=copies)


def _measure_decision_us(upstream_count: int, seed: int) -> float:
    """Return the time to submit, record a first token and end a request."""
    dispatcher = _build_dispatcher(
        _build_single_target_view(upstream_count), seed, upstream_count
    )
    requests = [_build_request(number, seed) for number in range(_DECISIONS)]
    started_at = time.perf_counter()
    for request in requests:
        dispatcher.submit(request, 1)
        dispatcher.record_first_token(request.request_id, 1.03)
        dispatcher.end_request(
            request.request_id, AttemptOutcome.completed, 1.5
        )
    return (time.perf_counter() - started_at) * _US_PER_S / _DECISIONS


def _measure_upstream_bytes(upstream_count: int) -> int:
    """Return the bytes of state per upstream with a full prefix index."""
    view = _build_single_target_view(upstream_count)
    settings = RouterSettings()
    tracemalloc.start()
    router = Router('d0', 'v0', settings, random.Random(0))
    router.apply_view(view, 0)
    block_limit = settings.prefix_blocks_per_upstream
    for position, state in enumerate(router.upstream_states.values()):
        first = (position + 1) * 2**40
        blocks = range(first, first + block_limit)
        state.prefix_index.confirm_blocks([f'{block:016x}' for block in blocks])
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes // upstream_count


def _measure_queued_bytes(upstream_count: int) -> int:
    """Return the bytes per queued request, `AdmissionRequest` included."""
    view = msgspec.structs.replace(
        _build_single_target_view(upstream_count), copies=()
    )
    dispatcher = _build_dispatcher(view, 0, upstream_count)
    tracemalloc.start()
    for number in range(_QUEUED_REQUESTS):
        dispatcher.submit(_build_request(number, 0), 1)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes // _QUEUED_REQUESTS


def _measure_subset(options: argparse.Namespace) -> list[dict[str, Any]]:
    """Measure subsets of a sample of 540 entries with 6,600 upstreams."""
    view = _build_large_view()
    rows: list[dict[str, Any]] = []
    for min_subset_endpoints in (1, 2, 4):
        settings = RouterSettings(min_subset_endpoints=min_subset_endpoints)
        used: Counter[str] = Counter()
        sizes: list[float] = []
        started_at = time.perf_counter()
        for entry in range(_SAMPLED_ENTRIES):
            rng = random.Random(options.seed)
            name = f'v{options.seed}-{entry}'
            router = Router('d0', name, settings, rng)
            router.apply_view(view, 0)
            subset = router.resize_subsets(0)
            sizes.append(len(subset))
            used.update(subset)
        view_s = (time.perf_counter() - started_at) / _SAMPLED_ENTRIES
        size = sum(sizes) / len(sizes)
        rows.append({
            'copies': min_subset_endpoints,
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


def _build_large_view() -> ControlView:
    view = build_view(_LARGE_UPSTREAMS, 1)
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
