"""What one planning round works on.

Invariant: every move that the round plans is entered in the layout, the
ledger and the balance, so that later moves of the round reckon with it.
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
from persimmonhold.placement._plan_view import PlannerInput
from persimmonhold.placement._sizes import adapters_by_base, memory_bytes


@final
class PlanRound:
    """View, layout, balance and the moves planned so far."""

    __slots__ = (
        'adapters',
        'balance',
        'by_load',
        'catalogue',
        'layout',
        'ledger',
        'limits',
        'max_free_bytes',
        'models',
        'moves',
        'view',
        'work',
    )

    def __init__(
        self,
        view: PlannerInput,
        work: dict[str, float],
        limits: MoveLimits,
    ) -> None:
        """Prepare the round from a view and the expected work.

        `max_free_bytes` is an upper bound: planned loads do not lower it.
        """
        self.view = view
        self.work = work
        self.catalogue: Catalogue = view.state.catalogue
        self.ledger: MemoryLedger = view.ledger
        self.layout = Layout(view)
        self.models = tuple(self.catalogue.of_type(ModelEntry))
        self.adapters: dict[str, list[AdapterEntry]] = adapters_by_base(
            self.catalogue,
        )
        self.balance = LoadBalance(work, self.layout.holders)
        self.moves: list[Move] = []
        self.limits = limits
        self.by_load = sorted(self.layout.places, key=self.balance.load)
        self.max_free_bytes = max(
            map(self.ledger.free_bytes, self.layout.places),
            default=0,
        )

    def size_bytes(self, model: str) -> int:
        """Return what a model takes together with all of its adapters."""
        adapters = self.adapters.get(model, ())
        return memory_bytes(self.catalogue, model) + sum(
            adapter.weight_bytes for adapter in adapters
        )

    def load_move(self, entry: ModelEntry, place: Place, reason: str) -> Move:
        """Return the load of a model's catalogued version."""
        return Move(
            kind=MoveKind.load,
            target=entry.name,
            version=entry.version,
            place=place,
            reason=reason,
            memory_bytes=memory_bytes(self.catalogue, entry.name),
        )

    def withdrawals(
        self,
        model: str,
        place: Place,
        reason: str,
    ) -> tuple[Move, ...]:
        """Return the withdrawal of a model and its adapters at a place."""
        present = self.layout.adapters_at.get(place, set())
        names = [
            adapter.name
            for adapter in self.adapters.get(model, ())
            if adapter.name in present
        ]
        return tuple(
            Move(
                kind=MoveKind.withdraw,
                target=name,
                version=self._version(name),
                place=place,
                reason=reason,
            )
            for name in (*names, model)
        )

    def plan_load(self, move: Move) -> None:
        """Plan a load whose memory is free."""
        self.moves.append(move)
        self.limits.loads -= 1
        self.expect(move)

    def expect(self, move: Move) -> None:
        """Reckon with a load that is planned or waits for memory."""
        key = ItemKey(move.target, move.version)
        self.ledger.reserve(move.place, key, move.memory_bytes)
        self.layout.hold(move.target, move.base, move.place)
        if move.base:
            return
        self.balance.balance(move.target)
        for adapter in self.adapters.get(move.target, ()):
            key = ItemKey(adapter.name, adapter.version)
            self.ledger.reserve(move.place, key, adapter.weight_bytes)

    def forgo(self, model: str, place: Place) -> None:
        """Reckon without the copy of a model at a place."""
        self.layout.drop(model, place)
        self.balance.balance(model)

    def _version(self, name: str) -> str:
        entry = self.catalogue.find(name)
        if isinstance(entry, (ModelEntry, AdapterEntry)):
            return entry.version
        return ''
