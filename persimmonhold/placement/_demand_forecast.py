"""Converts reported demand into the expected work of every model.

Work is measured in busy accelerators: prompt tokens divided by the prefill
rate plus output tokens divided by the decode rate of one accelerator. The
work of an adapter counts towards its base model.
"""

from collections.abc import Collection, Iterable
from typing import Final, final

from persimmonhold.catalogue import AdapterEntry, Catalogue
from persimmonhold.messages import Demand
from persimmonhold.placement._engine_status import EngineStatus
from persimmonhold.placement._target_forecast import TargetForecast

# Waiting requests are assumed to be served within this time, so their work is
# spread over it.
_BACKLOG_DRAIN_S: Final = 30.0


@final
class DemandForecast:
    """Forecasts the work of every model that has had demand.

    It keeps at most one forecast per catalogue entry.
    """

    __slots__ = ('_forecasts_by_target',)

    def __init__(self) -> None:
        """Create a forecast without observations."""
        self._forecasts_by_target: dict[str, TargetForecast] = {}

    def observe(
        self,
        catalogue: Catalogue,
        demand: Iterable[Demand],
        engines: Collection[EngineStatus],
        now: float,
        wall_clock_s: float,
    ) -> None:
        """Update all forecasts from the demand that is reported now.

        A target without a report has no demand. Forecasts of targets that are
        no longer in the catalogue are dropped.
        """
        prefill, decode = _mean_token_rates(engines)
        work: dict[str, float] = {}
        for offered in demand:
            entry = catalogue.find(offered.target)
            name = entry.base if isinstance(entry, AdapterEntry) else ''
            target = name or offered.target
            work[target] = work.get(target, 0) + _estimate_work(
                offered,
                prefill,
                decode,
            )
        for gone in self._forecasts_by_target.keys() - catalogue.entries.keys():
            self._forecasts_by_target.pop(gone)
        for target in work.keys() - self._forecasts_by_target.keys():
            if target in catalogue.entries:
                self._forecasts_by_target[target] = TargetForecast()
        for target, forecast in self._forecasts_by_target.items():
            forecast.observe(work.get(target, 0), now, wall_clock_s)

    def predict(self, wall_clock_s: float) -> dict[str, float]:
        """Return the expected work of each model, in busy accelerators."""
        return {
            target: forecast.predict(wall_clock_s)
            for target, forecast in self._forecasts_by_target.items()
        }


def _mean_token_rates(engines: Collection[EngineStatus]) -> tuple[float, float]:
    count = len(engines)
    if not count:
        default = EngineStatus(name='')
        return (
            default.prefill_tokens_per_second,
            default.decode_tokens_per_second,
        )
    return (
        sum(each.prefill_tokens_per_second for each in engines) / count,
        sum(each.decode_tokens_per_second for each in engines) / count,
    )


def _estimate_work(
    offered: Demand,
    prefill_tokens_per_second: float,
    decode_tokens_per_second: float,
) -> float:
    work = offered.prompt_tokens_per_second / prefill_tokens_per_second
    work += offered.output_tokens_per_second / decode_tokens_per_second
    if offered.waiting and offered.requests_per_second > 0:
        per_request = work / offered.requests_per_second
        work += offered.waiting * per_request / _BACKLOG_DRAIN_S
    return work
