"""Compares attainment and moves of the placement planner with two baselines.

This is a fluid model without network, queues or a cluster. At each time step
it spreads the offered work of every model over the serving copies as balanced
routing would. Work above the load at which an accelerator can still meet the
bounds counts as missed. The model leaves out queues between steps, waiting
batches, prefix caches, KV memory, lag in the reported demand, and the order
protocol except for its durations.

Run as `python -m bench.placement --seed N --output FILE`.
"""

import argparse
import itertools
import json
import statistics
from pathlib import Path
from typing import Final, NamedTuple

from bench.placement_baselines import LoadOnMiss, StaticEven, UpperBound
from bench.placement_demand import DAYS, HORIZON_S, HOUR_S, DemandDay
from bench.placement_fleet import FLEETS, Fleet, build_catalogue, model_name
from bench.placement_planner import PlannerPolicy
from bench.placement_policy import Policy
from persimmonhold.placement import Place
from persimmonhold.placement._load_balance import LoadBalance

_STEP_S: Final = 5.0
_WARM_UP_S: Final = 600.0
_SUSTAINABLE_LOAD: Final = 0.85
_DOMAIN_LOSS_S: Final = (1.5 * HOUR_S, 2.5 * HOUR_S)
_REQUESTS_PER_WORK_S: Final = 4


class Outcome(NamedTuple):
    """Figures of one policy on one simulated day; written as JSON."""

    fleet: str
    day: str
    seed: int
    policy: str
    attainment: float
    per_accelerator: float
    moves: int
    adapter_moves: int
    unreachable_s: float


class DayRun:
    """Simulates one policy over one day in fixed time steps."""

    def __init__(self, fleet: Fleet, day: str, policy: Policy) -> None:
        """Create a run that has not started its warm-up."""
        self.fleet = fleet
        self.day = day
        self.policy = policy
        self.loads: dict[Place, float] = {}
        self.offered_work = float(0)
        self.attained_work = float(0)
        self.unreachable_s = float(0)

    def run(self, demand: DemandDay, step_s: float) -> None:
        """Simulate the warm-up, reset the move counts, then measure."""
        now = -_WARM_UP_S
        while now < 0:
            self._step(demand, now, step_s)
            now += step_s
        self.policy.moves = 0
        self.policy.adapter_moves = 0
        while now < HORIZON_S:
            if self.day == 'domain loss':
                _apply_domain_loss(self.policy, now)
            self._measure(self._step(demand, now, step_s), step_s)
            now += step_s

    def build_outcome(self, seed: int, step_s: float) -> Outcome:
        """Return the figures of the measured period."""
        mean = self.attained_work * step_s / HORIZON_S
        return Outcome(
            self.fleet.name,
            self.day,
            seed,
            self.policy.name,
            self.attained_work / self.offered_work,
            mean * _REQUESTS_PER_WORK_S / self.fleet.accelerators,
            self.policy.moves,
            self.policy.adapter_moves,
            self.unreachable_s,
        )

    def _step(
        self,
        demand: DemandDay,
        now: float,
        step_s: float,
    ) -> LoadBalance:
        work = {
            model_name(index): offered
            for index, offered in demand.work_by_model(now).items()
        }
        self.policy.aborted_work = 0
        self.policy.step(now, step_s, work, self.loads)
        balance = LoadBalance(work, self.policy.serving_places())
        self.loads = balance.loads
        self.policy.shares = balance.shares
        self.offered_work += sum(work.values()) if now >= 0 else 0
        return balance

    def _measure(self, balance: LoadBalance, step_s: float) -> None:
        self.attained_work += _attained_work(self.policy, balance)
        self.attained_work -= self.policy.aborted_work
        held = self.policy.serving_places().values()
        self.unreachable_s += step_s * sum(not places for places in held)


def run_day(
    fleet: Fleet,
    day: str,
    seed: int,
    policy: Policy,
    step_s: float = _STEP_S,
) -> Outcome:
    """Simulate one policy over one day and return its figures."""
    day_run = DayRun(fleet, day, policy)
    demand = DemandDay(day, fleet.models, fleet.accelerators, seed)
    day_run.run(demand, step_s)
    return day_run.build_outcome(seed, step_s)


def _attained_work(policy: Policy, balance: LoadBalance) -> float:
    return sum(
        share
        * min(1, _SUSTAINABLE_LOAD / balance.loads[place])
        * (1 - policy.missed_share(model))
        for model, shares in balance.shares.items()
        for place, share in shares.items()
    )


def _apply_domain_loss(policy: Policy, now: float) -> None:
    engines = frozenset(
        name for name, domain in policy.domains.items() if domain == 'domain-0'
    )
    if now == _DOMAIN_LOSS_S[0]:
        policy.fail_engines(engines)
        if isinstance(policy, PlannerPolicy):
            policy.failed_at = now
    if now == _DOMAIN_LOSS_S[1]:
        policy.restore_engines(engines)


def _build_policies(fleet: Fleet, seed: int) -> list[Policy]:
    catalogue = build_catalogue(fleet, seed)
    return [
        StaticEven(fleet, catalogue),
        LoadOnMiss(fleet, catalogue, seed),
        PlannerPolicy(fleet, catalogue),
        UpperBound(fleet, catalogue),
    ]


def run_fleet(fleet: Fleet, options: argparse.Namespace) -> list[Outcome]:
    """Simulate all policies on the selected days and seeds."""
    days = [options.day] if options.day else DAYS
    seeds = range(options.seed, options.seed + options.repeats)
    outcomes: list[Outcome] = []
    for day, seed in itertools.product(days, seeds):
        outcomes.extend(
            run_day(fleet, day, seed, policy, options.step)
            for policy in _build_policies(fleet, seed)
        )
    return outcomes


def print_table(outcomes: list[Outcome]) -> None:
    """Print means over seeds, with the range of attainment."""
    print(
        f'{"fleet":9} {"day":12} {"policy":18} {"attainment":>17} '
        f'{"per acc/s":>9} {"moves":>7} {"adapters":>8} {"unreach s":>9}',
    )
    groups: dict[tuple[str, str, str], list[Outcome]] = {}
    for outcome in outcomes:
        key = (outcome.fleet, outcome.day, outcome.policy)
        groups.setdefault(key, []).append(outcome)
    for (fleet, day, policy), group in groups.items():
        print(f'{fleet:9} {day:12} {policy:18} {_format_summary(group)}')


def _format_summary(group: list[Outcome]) -> str:
    shares = [run.attainment for run in group]
    mean = statistics.mean
    return (
        f'{mean(shares):6.3f} {min(shares):.3f}-{max(shares):.3f} '
        f'{mean(run.per_accelerator for run in group):9.3f} '
        f'{mean(run.moves for run in group):7.1f} '
        f'{mean(run.adapter_moves for run in group):8.1f} '
        f'{mean(run.unreachable_s for run in group):9.0f}'
    )


def main() -> None:
    """Simulate the selected fleets, print a table, optionally write JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--repeats', type=int, default=5)
    parser.add_argument('--step', type=float, default=_STEP_S)
    parser.add_argument('--fleet', default='')
    parser.add_argument('--day', default='')
    parser.add_argument('--output', default='')
    options = parser.parse_args()
    outcomes: list[Outcome] = []
    for fleet in FLEETS:
        if options.fleet in {'', fleet.name}:
            outcomes.extend(run_fleet(fleet, options))
    print_table(outcomes)
    if options.output:
        document = {
            'seed': options.seed,
            'step_s': options.step,
            'outcomes': [outcome._asdict() for outcome in outcomes],
        }
        Path(options.output).write_text(json.dumps(document, indent=1))


if __name__ == '__main__':
    main()
