"""Generates seeded demand for the placement benchmark.

Work is expressed as the number of busy accelerators per model. The days differ
in the total demand and in how demand shifts between models.
"""

import math
import random
from collections.abc import Callable, Mapping
from itertools import repeat
from types import MappingProxyType
from typing import Final, NamedTuple, TypeAlias

HOUR_S: Final = 3600.0
HORIZON_S: Final = 4 * HOUR_S
DAYS: Final = ('quiet', 'lunch', 'deadline', 'burst', 'domain loss', 'swings')
_NOISE_STEP_S: Final = 60.0
_BURST_S: Final = 1200
_ZIPF_EXPONENT: Final = 0.8


class Peak(NamedTuple):
    """Increased demand of one model between two times, with linear ramps."""

    begins_at: float
    ends_at: float
    ramp_s: float
    factor: float

    def factor_at(self, now: float) -> float:
        """Return the demand factor at a time; 1 outside the peak."""
        if not self.begins_at <= now <= self.ends_at:
            return 1.0
        edge = min(now - self.begins_at, self.ends_at - now)
        return 1 + (self.factor - 1) * min(1.0, edge / max(self.ramp_s, 1))


class DemandDay:
    """The work of every model over one simulated day of `HORIZON_S`."""

    def __init__(
        self,
        day: str,
        models: int,
        accelerators: int,
        seed: int,
    ) -> None:
        """Draw the demand; equal arguments give equal demand."""
        self._random = random.Random(f'{day} {models} {accelerators} {seed}')
        self.day = day
        self.accelerator_count = accelerators
        order = list(range(models))
        self._random.shuffle(order)
        weights = [1 / (rank + 2) ** _ZIPF_EXPONENT for rank in range(models)]
        self.base_shares = [weights[rank] / sum(weights) for rank in order]
        self.peaks: dict[int, list[Peak]] = {}
        self.total_work = 0.3 * accelerators
        _DAY_SETUPS[day](self, self._random)
        self._noise = list(repeat(1.0, models))
        self._noise_drawn_at = -_NOISE_STEP_S

    def work_by_model(self, now: float) -> dict[int, float]:
        """Return the work of each model; times must not decrease over calls."""
        if now >= self._noise_drawn_at + _NOISE_STEP_S:
            self._noise_drawn_at = now
            self._noise = [self._next_noise(noise) for noise in self._noise]
        scaled = (share * self.total_work for share in self.base_shares)
        return {
            index: share * noise * self._peak_factor(index, now)
            for index, (share, noise) in enumerate(
                zip(scaled, self._noise, strict=True),
            )
        }

    def _next_noise(self, noise: float) -> float:
        level = 0.9 * math.log(noise) + self._random.gauss(0, 0.12)
        return math.exp(level)

    def _peak_factor(self, index: int, now: float) -> float:
        factor = 1.0
        for peak in self.peaks.get(index, ()):
            factor *= peak.factor_at(now)
        return factor


def _set_up_quiet(day: DemandDay, rng: random.Random) -> None:
    day.total_work = 0.35 * day.accelerator_count


def _set_up_lunch(day: DemandDay, rng: random.Random) -> None:
    """Raise the demand of a third of the models within 15 minutes."""
    peak_models = rng.sample(
        range(len(day.base_shares)), len(day.base_shares) // 3
    )
    _add_shared_peak(day, peak_models, Peak(HOUR_S, 2.5 * HOUR_S, 900, 1), 0.8)


def _set_up_deadline(day: DemandDay, rng: random.Random) -> None:
    """Raise a few models towards most of the fleet over 1.5 hours."""
    count = max(3, len(day.base_shares) // 8)
    peak_models = rng.sample(range(len(day.base_shares)), count)
    shape = Peak(HOUR_S / 2, HORIZON_S - HOUR_S / 2, 2 * HOUR_S, 1)
    _add_shared_peak(day, peak_models, shape, 0.9)


def _set_up_burst(day: DemandDay, rng: random.Random) -> None:
    """Raise two models together at six random times, with a 10 s ramp."""
    day.total_work = 0.4 * day.accelerator_count
    for _ in range(6):
        begins_at = rng.uniform(0, HORIZON_S - _BURST_S)
        for model in rng.sample(range(len(day.base_shares)), 2):
            share = day.base_shares[model] * day.total_work
            factor = max(1, rng.uniform(1, 2) / share)
            peak = Peak(begins_at, begins_at + _BURST_S, 10, factor)
            day.peaks.setdefault(model, []).append(peak)


def _set_up_domain_loss(day: DemandDay, rng: random.Random) -> None:
    """Set a steady load that the remaining accelerators can just serve."""
    day.total_work = 0.5 * day.accelerator_count


def _set_up_swings(day: DemandDay, rng: random.Random) -> None:
    """Raise each model tenfold and back within an hour, at random times."""
    day.total_work = 0.12 * day.accelerator_count
    for model, _ in enumerate(day.base_shares):
        begins_at = rng.uniform(-HOUR_S, HORIZON_S)
        for start in (begins_at, begins_at + 2 * HOUR_S):
            peak = Peak(start, start + HOUR_S, 1800, 10)
            day.peaks.setdefault(model, []).append(peak)


def _add_shared_peak(
    day: DemandDay,
    models: list[int],
    shape: Peak,
    fleet_share: float,
) -> None:
    """Raise models so that total work at the full factor is a fleet share."""
    others = sum(
        share * day.total_work
        for index, share in enumerate(day.base_shares)
        if index not in models
    )
    hot_work = sum(day.base_shares[index] * day.total_work for index in models)
    factor = (fleet_share * day.accelerator_count - others) / hot_work
    for model in models:
        day.peaks.setdefault(model, []).append(shape._replace(factor=factor))


_DaySetup: TypeAlias = Callable[[DemandDay, random.Random], None]
_DAY_SETUPS: Final[Mapping[str, _DaySetup]] = MappingProxyType({
    'quiet': _set_up_quiet,
    'lunch': _set_up_lunch,
    'deadline': _set_up_deadline,
    'burst': _set_up_burst,
    'domain loss': _set_up_domain_loss,
    'swings': _set_up_swings,
})
