"""Runs seeds of the soak and prints each broken promise.

Run as `python -m bench.soak --seeds 1-50 --seconds 30 --vms 8`, or with
`--regressions` for the seeds in regressions.txt, which once showed a fault. With `--releases`, upstreams
are replaced by another version and broken streams are taken up.
The settings and logs of each seed are kept below `--logs`.
"""

import argparse
import asyncio
import sys
import time
from pathlib import Path
from typing import Final

from bench.soak._plan import Plan
from bench.soak._shape import Shape
from bench.soak._soak import Soak

_REGRESSIONS: Final = Path(__file__).with_name('regressions.txt')


def main() -> int:
    """Run the seeds one after another; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1-50', help='such as 7 or 1-50')
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--vms', type=int, default=8)
    parser.add_argument(
        '--large',
        type=int,
        default=0,
        help='entries before engines, such as 80',
    )
    parser.add_argument(
        '--varied',
        action='store_true',
        help='eager callers, slow streams, requests around each stop',
    )
    parser.add_argument('--releases', action='store_true')
    parser.add_argument('--regressions', action='store_true')
    parser.add_argument('--logs', type=Path, default=Path('target/soak'))
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition('-')
    shape = None
    if arguments.large:
        shape = Shape.large(arguments.large, is_varied=arguments.varied)
    plans = [
        Plan(
            seed,
            arguments.seconds,
            arguments.vms,
            has_releases=arguments.releases,
            shape=shape,
        )
        for seed in range(int(first), int(last or first) + 1)
    ]
    if arguments.regressions:
        plans = _read_regressions()
    folder = arguments.logs.resolve() / time.strftime('%H%M%S')
    failed = [
        plan.seed
        for plan in plans
        if asyncio.run(Soak(plan, folder / f'seed-{plan.seed}').run())
    ]
    print(f'{len(plans)} seeds, failed: {failed}')
    return 1 if failed else 0


def _read_regressions() -> list[Plan]:
    """Read lines of seed, seconds, VMs and cause; `#` begins a comment."""
    lines = _REGRESSIONS.read_text(encoding='utf-8').splitlines()
    cases = [line.split(maxsplit=3) for line in lines if line[:1] != '#']
    return [
        Plan(int(seed), float(seconds), int(vms))
        for seed, seconds, vms, _ in filter(None, cases)
    ]


sys.exit(main())
