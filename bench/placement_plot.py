"""Plots the results of `bench.placement`, one image for each fleet.

Run as `python -m bench.placement_plot FOLDER FILE...`, where the files are
the JSON output of `bench.placement`.
"""

import json
import statistics
import sys
from pathlib import Path
from typing import Any

import matplotlib as mpl
from matplotlib import pyplot as plt

_POLICIES = ('static even', 'load on miss, LRU', 'planner', 'bound')
_WIDTH = 0.2


def plot_fleet(
    fleet: str, outcomes: list[dict[str, Any]], folder: Path
) -> None:
    """Plot attainment and moves of one fleet by day and policy."""
    days = list(dict.fromkeys(outcome['day'] for outcome in outcomes))
    figure, (above, below) = plt.subplots(2, 1, figsize=(8, 6))
    for offset, policy in enumerate(_POLICIES):
        for position, day in enumerate(days):
            runs = [
                outcome
                for outcome in outcomes
                if (outcome['day'], outcome['policy']) == (day, policy)
            ]
            if not runs:
                continue
            bar_x = position + (offset - 1.5) * _WIDTH
            shares = [run['attainment'] for run in runs]
            mean = statistics.mean(shares)
            spread = [[mean - min(shares)], [max(shares) - mean]]
            above.bar(bar_x, mean, _WIDTH, yerr=spread, color=f'C{offset}')
            moves = statistics.mean(run['moves'] for run in runs)
            below.bar(bar_x, moves + 0.1, _WIDTH, color=f'C{offset}')
    _label_axes(above, below, days)
    figure.suptitle(f'{fleet}: mean and range over seeds')
    figure.tight_layout()
    figure.savefig(folder / f'placement-{fleet}.png', dpi=80)
    plt.close(figure)


def _label_axes(above: Any, below: Any, days: list[str]) -> None:
    for axes, label in ((above, 'attainment'), (below, 'moves in 4 h')):
        axes.set_xticks(range(len(days)), days)
        axes.set_ylabel(label)
    above.set_ylim(0.6, 1.02)
    below.set_yscale('log')
    handles = [
        mpl.patches.Patch(color=f'C{index}', label=policy)
        for index, policy in enumerate(_POLICIES)
    ]
    above.legend(handles=handles, loc='lower left', ncols=4, fontsize=7)


def main() -> None:
    """Read the result files and plot every fleet."""
    folder = Path(sys.argv[1])
    by_fleet: dict[str, list[Any]] = {}
    for name in sys.argv[2:]:
        for outcome in json.loads(Path(name).read_text())['outcomes']:
            by_fleet.setdefault(outcome['fleet'], []).append(outcome)
    for fleet, outcomes in by_fleet.items():
        plot_fleet(fleet, outcomes, folder)


if __name__ == '__main__':
    main()
