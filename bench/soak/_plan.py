"""Derives the shape of the system and the faults from a seed."""

import random
from typing import Final, final

from bench.soak._fault import Fault, FaultKind
from bench.soak._shape import Shape

_GRACES_S: Final = (3, 5, 8)
_SEED_COUNT: Final = 3  # control VMs that the settings files name
_MAX_PAUSE_S: Final = 1.2
_MAX_SERIES_S: Final = 1.5
_SERIES_SHARE: Final = 0.7  # of the entries at most
_MAX_CHANGES: Final = 8
_MAX_UPSTREAM_FAULT_S: Final = 5.0
_UPSTREAM_FAULTS: Final = (
    *(FaultKind.slow for _ in range(3)),
    FaultKind.refusing,
    FaultKind.closing,
    FaultKind.limited,
    FaultKind.crash,
)
_VARIED_UPSTREAM_FAULTS: Final = (*_UPSTREAM_FAULTS, FaultKind.drain)
_PLANNED_FAULTS: Final[tuple[FaultKind, ...]] = (
    FaultKind.stop,
    FaultKind.stop,
    FaultKind.reload,
    FaultKind.rewrite,
    FaultKind.configure,
)
# Half of the varied stops have no change within them.
_CHANGES_IN_STOPS: Final = (
    None,
    None,
    None,
    FaultKind.reload,
    FaultKind.configure,
    FaultKind.stop,
)
_UNPLANNED_FAULTS: Final = (FaultKind.freeze, FaultKind.kill)
_MAX_RELEASE_PAUSE_S: Final = 3.0


@final
class Plan:
    """Names of VMs and upstreams, the grace period, and the faults.

    Odd seeds kill and freeze VMs too. With releases,
    upstreams are replaced by another software version under their names, and
    callers take broken streams up; odd seeds then kill all VMs at once. Faults
    are in the order of their times.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        vm_count: int,
        *,
        has_releases: bool = False,
        shape: Shape | None = None,
    ) -> None:
        self.seed = seed
        self.has_releases = has_releases
        self.shape = shape or Shape.small(vm_count)
        self.controls = _number('c', self.shape.control_count)
        self.seeds = self.controls[:_SEED_COUNT]
        self.entries = _number('e', self.shape.entry_count)
        self.upstreams = _number(
            'u', self.shape.upstream_count + self.shape.engine_count
        )
        self.grace_s = _GRACES_S[seed % len(_GRACES_S)]
        self.rng = random.Random(seed)
        faults: list[Fault] = []
        at_s = 1.0
        while at_s < seconds:
            faults.extend(self._draw(at_s))
            at_s += self.rng.uniform(0, _MAX_PAUSE_S)
        if has_releases:
            faults.extend(self._draw_releases(seconds))
        self.faults = sorted(faults, key=lambda fault: fault.at_s)

    def _draw(self, at_s: float) -> list[Fault]:
        kinds = _PLANNED_FAULTS + _UNPLANNED_FAULTS * (self.seed % 2)
        upstream_faults = _UPSTREAM_FAULTS
        if self.shape.is_varied:
            upstream_faults = _VARIED_UPSTREAM_FAULTS
        kind = self.rng.choice(self.rng.choice((kinds, upstream_faults)))
        if kind is FaultKind.stop:
            return self._draw_stops(at_s)
        if kind is FaultKind.configure:
            return [Fault(at_s, '', kind, self.rng.randint(1, _MAX_CHANGES))]
        target = self.rng.choice(self.controls + self.entries)
        amount = self.rng.uniform(0, 1)
        if kind in upstream_faults:
            target = self.rng.choice(self.upstreams)
            amount *= _MAX_UPSTREAM_FAULT_S
        return [Fault(at_s, target, kind, amount)]

    def _draw_releases(self, seconds: float) -> list[Fault]:
        """Release upstreams in a series that overlaps; kill all VMs once."""
        rng = random.Random(f'releases {self.seed}')
        faults: list[Fault] = []
        at_s = 1.0
        while at_s < seconds:
            upstream = rng.choice(self.upstreams)
            faults.append(
                Fault(at_s, upstream, FaultKind.release, rng.random())
            )
            at_s += rng.uniform(0, _MAX_RELEASE_PAUSE_S)
        if self.seed % 2:
            kill_at_s = rng.uniform(seconds / 3, seconds)
            faults.append(
                Fault(kill_at_s, '', FaultKind.kill_all, rng.random())
            )
        return faults

    def _draw_stops(self, at_s: float) -> list[Fault]:
        """Stop a control VM, or entries in a series that overlaps."""
        vms = [self.rng.choice(self.controls)]
        if self.rng.random() < 3 / 4:
            most = max(1, round(_SERIES_SHARE * len(self.entries)))
            vms = self.rng.sample(self.entries, self.rng.randint(1, most))
        times = [at_s + self.rng.uniform(0, _MAX_SERIES_S) for _ in vms]
        stops = [
            Fault(time, vm, FaultKind.stop, self.rng.uniform(0, 1))
            for time, vm in zip(times, vms, strict=True)
        ]
        if self.shape.is_varied:
            return [one for stop in stops for one in self._vary(stop)]
        return stops

    def _vary(self, stop: Fault) -> list[Fault]:
        """Add changes within a stop, or another stop soon after it."""
        faults = [stop]
        kind = self.rng.choice(_CHANGES_IN_STOPS)
        within_s = stop.at_s + self.rng.uniform(0, self.grace_s)
        if kind is FaultKind.reload:
            faults.append(Fault(within_s, stop.target, kind, 0))
        elif kind is FaultKind.configure:
            faults.append(Fault(within_s, '', kind, 1))
        elif kind is FaultKind.stop:
            again_s = within_s + self.grace_s
            faults.append(Fault(again_s, stop.target, kind, 0))
        return faults


def _number(prefix: str, count: int) -> tuple[str, ...]:
    return tuple(f'{prefix}{number}' for number in range(1, count + 1))
