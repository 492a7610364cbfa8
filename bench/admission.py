"""Measures attainment by class under load, against two simple routers.

Run `python -m bench.admission --seed N`. Each figure is the mean over
`--repeats` seeds from N on, with the lowest and the highest. The limits of
the fakes are described in `bench.routing_fakes`.
"""

import argparse
import pathlib
import statistics
from typing import Any, Final

import msgspec

from bench.routing_simulation import (
    POLICIES,
    Outcome,
    Scenario,
    Workload,
    run_scenario,
)

_LOADS: Final = (0.5, 0.8, 1.0, 1.5, 3.0)
_REPEATS: Final = 5
_SECONDS: Final = 40.0
_COLUMNS: Final = ('interactive', 'check', 'batch', 'goodput', 'preempted')


def main() -> None:
    """Run all combinations of load and policy and print their figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--repeats', type=int, default=_REPEATS)
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    parser.add_argument('--loads', default=','.join(map(str, _LOADS)))
    parser.add_argument('--policies', default=','.join(POLICIES))
    parser.add_argument('--output', default='')
    options = parser.parse_args()
    rows: list[dict[str, Any]] = []
    print('load', 'policy', *_COLUMNS)
    for load in map(float, options.loads.split(',')):
        for policy in options.policies.split(','):
            row = _measure(load, policy, options)
            rows.append(row)
            print(load, policy, *(_format_cell(row[name]) for name in _COLUMNS))
    if options.output:
        document = {'seed': options.seed, 'rows': rows}
        encoded = msgspec.json.encode(document)
        pathlib.Path(options.output).write_bytes(encoded)


def _measure(
    load: float,
    policy: str,
    options: argparse.Namespace,
) -> dict[str, Any]:
    workload = Workload(duration_s=options.seconds)
    outcomes = [
        run_scenario(
            Scenario(policy=policy, load=load, seed=seed, workload=workload)
        )
        for seed in range(options.seed, options.seed + options.repeats)
    ]
    row: dict[str, Any] = {'load': load, 'policy': policy}
    for name in _COLUMNS:
        row[name] = mean_and_range([
            _outcome_value(outcome, name) for outcome in outcomes
        ])
    row['refused'] = [outcome.refused for outcome in outcomes]
    return row


def mean_and_range(values: list[float]) -> tuple[float, float, float]:
    """Return the mean, lowest and highest value."""
    return statistics.fmean(values), min(values), max(values)


def _outcome_value(outcome: Outcome, name: str) -> float:
    if name == 'goodput':
        return outcome.goodput_per_s
    if name == 'preempted':
        return outcome.preemptions
    return outcome.attainment[name]


def _format_cell(value: tuple[float, float, float]) -> str:
    return f'{value[0]:.3f} ({value[1]:.3f}-{value[2]:.3f})'


if __name__ == '__main__':
    main()
