"""Draws faults that break streams."""

import random
from collections.abc import Sequence
from typing import Final

from bench.soak._fault import Fault, FaultKind

_FIRST_AT_S: Final = 4.0
_HERD_SHARE: Final = 0.55  # of the entries
_CRASH_SHARE: Final = 0.17  # of the engines
_CRASH_S: Final = 4.5
_MAX_KILL_PAUSE_S: Final = 4.0
_MAX_CRASH_PAUSE_S: Final = 12.0
_MAX_RELEASE_PAUSE_S: Final = 1.5
_KEPT_ENGINES: Final = 3  # of the version that is replaced
_MAX_DOWN_S: Final = 1.0


def draw_breaking_faults(
    seed: int,
    seconds: float,
    *,
    controls: Sequence[str],
    entries: Sequence[str],
    old_engines: Sequence[str],
    engines: Sequence[str],
) -> list[Fault]:
    """Return the faults of a seed in no particular order.

    Single entries are killed or stopped, many at once (with two control VMs in
    odd seeds), and in every fourth seed all VMs. Engines crash together, and
    those of the old version are released until few are left.
    """
    rng = random.Random(f'breaking {seed}')
    faults = _draw_kills(rng, seconds, entries)
    herd = rng.sample(entries, max(1, round(_HERD_SHARE * len(entries))))
    if seed % 2:
        herd.extend(rng.sample(controls, 2))
    herd_at_s = rng.uniform(_FIRST_AT_S, seconds / 2)
    down_s = rng.uniform(0, _MAX_DOWN_S)
    faults.extend(Fault(herd_at_s, vm, FaultKind.kill, down_s) for vm in herd)
    at_s = rng.uniform(_FIRST_AT_S, _MAX_CRASH_PAUSE_S)
    while at_s < seconds:
        count = max(1, round(_CRASH_SHARE * len(engines)))
        faults.extend(
            Fault(at_s, engine, FaultKind.crash, _CRASH_S)
            for engine in rng.sample(engines, count)
        )
        at_s += rng.uniform(_CRASH_S, _MAX_CRASH_PAUSE_S)
    at_s = _FIRST_AT_S
    for engine in old_engines[_KEPT_ENGINES:]:
        at_s += rng.uniform(0, _MAX_RELEASE_PAUSE_S)
        if at_s < seconds:
            faults.append(Fault(at_s, engine, FaultKind.release, rng.random()))
    if seed % 4 == 3:
        kill_at_s = rng.uniform(seconds / 2, seconds)
        faults.append(Fault(kill_at_s, '', FaultKind.kill_all, rng.random()))
    return faults


def _draw_kills(
    rng: random.Random, seconds: float, entries: Sequence[str]
) -> list[Fault]:
    """Return kills and stops of single entries."""
    faults: list[Fault] = []
    at_s = rng.uniform(1, _FIRST_AT_S)
    while at_s < seconds:
        kind = rng.choice((FaultKind.kill, FaultKind.kill, FaultKind.stop))
        down_s = rng.uniform(0, _MAX_DOWN_S)
        faults.append(Fault(at_s, rng.choice(entries), kind, down_s))
        at_s += rng.uniform(0, _MAX_KILL_PAUSE_S)
    return faults
