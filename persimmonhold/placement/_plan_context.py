"""The working state of one planning round.

Invariant: every load that the round plans is added at once to the layout (its
copy), the memory ledger (its bytes) and the load balance (its share of work),
so that later decisions of the round take it into account.
"""

from typing import final

from persimmonhold.catalogue import AdapterEntry, Catalogue, ModelEntry
from persimmonhold.placement._item_key import ItemKey
from persimmonhold.placement._layout import Layout
from persimmonhold.placement._load_balance import LoadBalance
from persimmonhold.placement._memory_ledger import MemoryLedger
from persimmonhold.placement._move import Move
from persimmonhold.placement._move_kind import MoveKind
from persimmonhold.placement._move_limits import MoveLimits
from persimmonhold.placement._place import Place
from persimmonhold.placement._planner_input import PlannerInput
from persimmonhold.placement._sizes import (
    group_adapters_by_base,
    required_memory_bytes,
)


@final
class PlanContext:
    """The working state of one planning round.

    `layout`, `ledger` and `balance` hold the copies, the memory reservations
    and the expected accelerator loads; they include the loads and evictions
    planned so far. `moves` lists the moves planned so far, and `limits` says
    how many more loads and swaps the round may plan.
    """

    __slots__ = (
        'adapters_by_base',
        'balance',
        'catalogue',
        'expected_work',
        'layout',
        'ledger',
        'limits',
        'max_free_bytes',
        'models',
        'moves',
        'places_by_load',
        'planner_input',
    )

    def __init__(
        self,
        planner_input: PlannerInput,
        expected_work: dict[str, float],
        limits: MoveLimits,
    ) -> None:
        """Create the working state of a round that has planned nothing yet.

        `expected_work` is the work of each model in busy accelerators.
        `max_free_bytes` is an upper bound on the free bytes of a place, and
        `places_by_load` lists the least loaded places first; planned loads
        change neither.
        """
        self.planner_input = planner_input
        self.expected_work = expected_work
        self.catalogue: Catalogue = planner_input.state.catalogue
        self.ledger: MemoryLedger = planner_input.ledger
        self.layout = Layout(planner_input)
        self.models = tuple(self.catalogue.entries_of_type(ModelEntry))
        self.adapters_by_base: dict[str, list[AdapterEntry]] = (
            group_adapters_by_base(
                self.catalogue,
            )
        )
        self.balance = LoadBalance(expected_work, self.layout.holders)
        self.moves: list[Move] = []
        self.limits = limits
        self.places_by_load = sorted(
            self.layout.places, key=self.balance.load_at
        )
        self.max_free_bytes = max(
            map(self.ledger.free_bytes, self.layout.places),
            default=0,
        )

    def size_bytes(self, model: str) -> int:
        """Return the bytes of a model together with all of its adapters."""
        adapters = self.adapters_by_base.get(model, ())
        return required_memory_bytes(self.catalogue, model) + sum(
            adapter.weight_bytes for adapter in adapters
        )

    def create_load_move(
        self, entry: ModelEntry, place: Place, reason: str
    ) -> Move:
        """Return a move that loads the catalogued version of a model."""
        return Move(
            kind=MoveKind.load,
            target=entry.name,
            version=entry.version,
            place=place,
            reason=reason,
            memory_bytes=required_memory_bytes(self.catalogue, entry.name),
        )

    def create_withdrawals(
        self,
        model: str,
        place: Place,
        reason: str,
    ) -> tuple[Move, ...]:
        """Return moves that withdraw a model and its adapters from a place."""
        present = self.layout.adapters_at.get(place, set())
        names = [
            adapter.name
            for adapter in self.adapters_by_base.get(model, ())
            if adapter.name in present
        ]
        return tuple(
            Move(
                kind=MoveKind.withdraw,
                target=name,
                version=self._find_version(name),
                place=place,
                reason=reason,
            )
            for name in (*names, model)
        )

    def add_load(self, move: Move) -> None:
        """Add a load to the moves of the round and reserve its memory.

        The load counts against the limit on loads. The caller has checked that
        its memory is free.
        """
        self.moves.append(move)
        self.limits.remaining_loads -= 1
        self.reserve_load(move)

    def reserve_load(self, move: Move) -> None:
        """Reserve memory for a load and add its copy to the layout.

        The load is planned in this round or waits for evictions. For a model,
        memory for all of its adapters is reserved as well, and its expected
        work is redistributed over its places, the new one included.
        """
        key = ItemKey(move.target, move.version)
        self.ledger.reserve(move.place, key, move.memory_bytes)
        self.layout.add_holder(move.target, move.base, move.place)
        if move.base:
            return
        self.balance.rebalance(move.target)
        for adapter in self.adapters_by_base.get(move.target, ()):
            key = ItemKey(adapter.name, adapter.version)
            self.ledger.reserve(move.place, key, adapter.weight_bytes)

    def remove_copy(self, model: str, place: Place) -> None:
        """Remove from the layout a copy of a model that is to be evicted.

        The work of the model is redistributed over its other copies. The
        memory of the evicted copy stays reserved in the ledger.
        """
        self.layout.remove_holder(model, place)
        self.balance.rebalance(model)

    def _find_version(self, name: str) -> str:
        entry = self.catalogue.find(name)
        if isinstance(entry, (ModelEntry, AdapterEntry)):
            return entry.version
        return ''
