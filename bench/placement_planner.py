"""The policy that runs the placement planner and simulates its moves."""

import msgspec

from bench.placement_fleet import Fleet
from bench.placement_policy import Policy
from persimmonhold.catalogue import AdapterEntry, Catalogue
from persimmonhold.messages import Copy, CopyState, Demand, Order, OrderKind
from persimmonhold.placement import (
    EngineStatus,
    MemoryLedger,
    Move,
    MoveKind,
    Place,
    PlacementState,
    Planner,
    PlannerInput,
    memory_bytes,
)

_DRAIN_S = 31.0
_DETECTION_S = 7.0
_DECODE_TOKENS_PER_S = 400.0
_CopyKey = tuple[str, str, str, str]


class PlannerPolicy(Policy):
    """Runs the planner; of the order protocol only the durations count.

    A withdrawn copy occupies its memory until the longest request has ended.
    The last serving copy of a model or adapter is never withdrawn.
    """

    name = 'planner'

    def __init__(self, fleet: Fleet, catalogue: Catalogue) -> None:
        """Start from the even placement, with all adapters loaded."""
        super().__init__(fleet, catalogue)
        self.copies: dict[_CopyKey, Copy] = {}
        self.orders: dict[int, Order] = {}
        self.due_orders: list[tuple[float, int]] = []
        self.drain_ends: dict[_CopyKey, float] = {}
        self.planner = Planner(fleet.settings)
        self.failed_at = 0.0
        self.index = 0
        self._adapters: dict[str, list[AdapterEntry]] = {}
        for adapter in catalogue.entries_of_type(AdapterEntry):
            self._adapters.setdefault(adapter.base, []).append(adapter)
        for model, held in self.holders.items():
            for place in held:
                self._add_copy(model, '', place)
                for adapter in self._adapters.get(model, ()):
                    self._add_copy(adapter.name, model, place)

    def step(
        self,
        now: float,
        elapsed_s: float,
        work: dict[str, float],
        loads: dict[Place, float],
    ) -> None:
        """Complete due orders and withdrawals, then plan and apply moves."""
        self._complete_due(now)
        state = PlacementState(
            self.index,
            self.catalogue,
            self.copies,
            self.orders,
        )
        is_detected = now >= self.failed_at + _DETECTION_S
        view = PlannerInput(
            state=state,
            ledger=MemoryLedger.from_state(
                self.catalogue,
                self.copies.values(),
                self.orders.values(),
                {},
            ),
            engines={
                name: EngineStatus(
                    name=name,
                    is_alive=name not in self.failed_engines or not is_detected,
                    takes_loads=name not in self.failed_engines,
                )
                for name in self.domains
            },
            demand=tuple(
                Demand(
                    target=model,
                    requests_per_second=4 * offered,
                    prompt_tokens_per_second=0,
                    output_tokens_per_second=offered * _DECODE_TOKENS_PER_S,
                )
                for model, offered in work.items()
            ),
            free_load_slots=self._free_load_slots(elapsed_s),
            wall_clock_s=now,
        )
        for move in self.planner.plan(view, now):
            if move.kind is MoveKind.load:
                self._load(move, now)
            else:
                self._withdraw(move, now)
        self._update_holders()

    def fail_engines(self, engines: frozenset[str]) -> None:
        """Fail engines; the planner sees it after the detection time."""
        self.failed_engines = engines

    def restore_engines(self, engines: frozenset[str]) -> None:
        """Restore engines without the copies that they held."""
        self.failed_engines = frozenset()
        self.copies = {
            key: copy
            for key, copy in self.copies.items()
            if copy.upstream not in engines
        }
        self.drain_ends = {
            key: at for key, at in self.drain_ends.items() if key in self.copies
        }
        self._update_holders()

    def _free_load_slots(self, elapsed_s: float) -> int:
        settings = self.fleet.settings
        in_flight = sum(not order.base for order in self.orders.values())
        allowed = max(
            settings.loads_at_once,
            int(settings.loads_per_second * elapsed_s),
        )
        return allowed - in_flight

    def _complete_due(self, now: float) -> None:
        for at, fence in tuple(self.due_orders):
            if at > now:
                continue
            self.due_orders.remove((at, fence))
            order = self.orders.pop(fence)
            if order.upstream not in self.failed_engines:
                place = Place(order.upstream, order.accelerator)
                self._add_copy(order.target, order.base, place)
        for key, at in tuple(self.drain_ends.items()):
            if at <= now:
                self.drain_ends.pop(key)
                self.copies.pop(key, None)

    def _load(self, move: Move, now: float) -> None:
        self.index += 1
        self.orders[self.index] = Order(
            fence=self.index,
            kind=OrderKind.load,
            upstream=move.place.upstream,
            accelerator=move.place.accelerator,
            target=move.target,
            version=move.version,
            memory_bytes=move.memory_bytes,
            base=move.base,
        )
        if move.base:
            self.adapter_moves += 1
            self.due_orders.append((now, self.index))
        else:
            self.moves += 1
            self.due_orders.append((now + self.fleet.load_s, self.index))

    def _withdraw(self, move: Move, now: float) -> None:
        key = (move.target, move.version, *move.place)
        copy = self.copies.get(key)
        if copy is None or copy.state is not CopyState.serving:
            return
        others = sum(
            other.target == move.target
            and other.state is CopyState.serving
            and other.upstream not in self.failed_engines
            for other in self.copies.values()
        )
        if others > 1:
            self.index += 1
            self.drain_ends[key] = now + _DRAIN_S
            self.copies[key] = msgspec.structs.replace(
                copy,
                state=CopyState.withdrawing,
            )

    def _add_copy(self, target: str, base: str, place: Place) -> None:
        self.index += 1
        self.copies[target, '1', *place] = Copy(
            target=target,
            version='1',
            upstream=place.upstream,
            accelerator=place.accelerator,
            state=CopyState.serving,
            fence=self.index,
            memory_bytes=memory_bytes(self.catalogue, target),
            base=base,
        )

    def _update_holders(self) -> None:
        for held in self.holders.values():
            held.clear()
        for copy in self.copies.values():
            if copy.state is CopyState.serving and not copy.base:
                place = Place(copy.upstream, copy.accelerator)
                self.holders[copy.target].add(place)
