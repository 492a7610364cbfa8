"""The expected load of accelerators under balanced routing.

The work of a model is spread over its copies by water-filling: each of its
places is filled up to a common level on top of the load of other models. This
approximates routing by predicted time to first token, which sends less work
to busier copies. Sums do not depend on the iteration order of sets, so that
equal input gives equal plans.
"""

import math
from collections.abc import Mapping
from typing import Final, final

from persimmonhold.placement._place import Place

# Load above which an accelerator counts as overloaded; 1 is fully busy.
TARGET_LOAD: Final = 0.8

# The second pass spreads the work of each model with the shares of all others
# known.
_BALANCE_PASSES: Final = 2


@final
class LoadBalance:
    """The expected load of each accelerator in one planning round.

    `shares` maps a model to the work, in busy accelerators, that each of its
    places gets; `loads` maps a place to the sum of its shares.
    """

    __slots__ = (
        '_holders',
        '_total_slack_by_model',
        '_work_by_model',
        'loads',
        'shares',
    )

    def __init__(
        self,
        work_by_model: Mapping[str, float],
        holders: Mapping[str, set[Place]],
    ) -> None:
        """Balance the work of all models over the places that hold them."""
        self.loads: dict[Place, float] = {}
        self.shares: dict[str, dict[Place, float]] = {}
        self._work_by_model = work_by_model
        self._holders = holders
        self._total_slack_by_model: dict[str, float] = {}
        busiest = sorted(
            work_by_model, key=lambda target: -work_by_model[target]
        )
        for _ in range(_BALANCE_PASSES):
            for target in busiest:
                self.rebalance(target)

    def rebalance(self, target: str) -> None:
        """Redistribute the work of one model over its current places."""
        loads = self.loads
        for former, share in self.shares.get(target, {}).items():
            loads[former] -= share
        places = self._holders.get(target, ())
        filled = water_fill(
            self._work_by_model.get(target, 0),
            {place: loads.get(place, 0) for place in places},
        )
        for chosen, portion in filled.items():
            loads[chosen] = loads.get(chosen, 0) + portion
        self.shares[target] = filled
        self._total_slack_by_model.pop(target, None)

    def load_at(self, place: Place) -> float:
        """Return the expected load of an accelerator; 1 is fully busy."""
        return self.loads.get(place, 0)

    def overload_of(self, target: str) -> float:
        """Return the work of a model that exceeds the target load.

        This is the sum over the places of the model, in busy accelerators. At
        each place, at most the share of this model counts.
        """
        return math.fsum(
            min(share, max(0, self.loads[place] - TARGET_LOAD))
            for place, share in self.shares.get(target, {}).items()
        )

    def slack_at(self, place: Place) -> float:
        """Return how much work a place can take up to the target load."""
        return max(0, TARGET_LOAD - self.load_at(place))

    def slack_excluding(self, target: str, place: Place) -> float:
        """Return the total slack of the places of a model except `place`."""
        total = self._total_slack_by_model.get(target)
        if total is None:
            total = math.fsum(map(self.slack_at, self._holders.get(target, ())))
            self._total_slack_by_model[target] = total
        return max(0, total - self.slack_at(place))


def water_fill(work: float, loads: Mapping[Place, float]) -> dict[Place, float]:
    """Return the share of `work` that each place gets by water-filling.

    `loads` are the loads of the places without this work. The least loaded
    places are raised to one common level; places above it get no share and are
    left out.
    """
    ordered = sorted(loads.values())
    level = float(0)
    total = float(0)
    for count, added in enumerate(ordered, start=1):
        total += added
        level = (work + total) / count
        if count == len(ordered) or level <= ordered[count]:
            break
    return {
        place: level - load for place, load in loads.items() if load < level
    }
