"""Two-phase unloading of copies.

First a copy is committed as withdrawing, so that entries send it no new
requests. It is unloaded when every live entry has applied that state and the
engine has finished the requests sent to it before: either the engine reported
itself idle at a later time, or the request deadline in the target's catalogue
entry (`bounds.deadline_ms`) and a margin have passed since.

Invariant: a copy of a catalogued target is committed as withdrawing, and
remains so, only while another copy of the target is ready in the last
inventory of a reachable engine and every live entry has applied the serving
state of that other copy. Otherwise the copy is returned to serving.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final, TypeAlias, final

from persimmonhold.catalogue import AdapterEntry, Catalogue, ModelEntry
from persimmonhold.messages import Copy, CopyState, Order
from persimmonhold.placement._copy_key import CopyKey, copy_key
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._placement_state import PlacementState

_MS_PER_S: Final = 1000

# Added to the request deadline before a copy is assumed to be drained.
_DEADLINE_MARGIN_S: Final = 1.0

# A replacement must be ready in an inventory whose read is not older than this.
_MAX_INVENTORY_AGE_S: Final = 2.0

# Takes a log index; returns whether no entry can still serve an older view.
InForceCheck: TypeAlias = Callable[[int], bool]


@final
class WithdrawalTracker:
    """Decides when copies can be withdrawn, and when they can be unloaded.

    `withdrawing_copies` are the copies committed in the withdrawing state.
    `replacement_upstreams` are all upstreams with a copy of the target of a
    withdrawing copy. `leaving_upstreams` are the upstreams whose last load
    report says that they are leaving; the placement leader sets them. Copies
    at these cannot replace another copy.
    """

    __slots__ = (
        '_adapters_by_base_and_place',
        '_copies_by_target',
        '_states_with_index',
        '_state',
        '_watches',
        '_withdrawal_in_force_at',
        'leaving_upstreams',
        'replacement_upstreams',
        'withdrawing_copies',
    )

    def __init__(self, watches: Mapping[str, EngineWatch]) -> None:
        """Create a tracker that has seen no copies yet."""
        self.leaving_upstreams: frozenset[str] = frozenset()
        self.withdrawing_copies: tuple[Copy, ...] = ()
        self.replacement_upstreams: frozenset[str] = frozenset()
        self._watches = watches
        self._state = PlacementState(0, Catalogue(), {}, {})
        self._copies_by_target: dict[str, list[Copy]] = {}
        self._adapters_by_base_and_place: dict[
            tuple[str, str, str], list[Copy | Order]
        ] = {}
        self._states_with_index: dict[CopyKey, tuple[CopyState, int]] = {}
        self._withdrawal_in_force_at: dict[CopyKey, float] = {}

    def apply_state(self, state: PlacementState) -> None:
        """Update the tracked copies from a newer committed state.

        Records the log index at which each copy entered its state, groups the
        copies by target, lists the withdrawing ones and the upstreams of
        their replacements, and drops what is known of copies that are gone.
        """
        self._state = state
        seen = self._states_with_index
        self._states_with_index = {}
        self._copies_by_target = {}
        for key, copy in state.copies.items():
            known = seen.get(key)
            if known is None or known[0] is not copy.state:
                known = (copy.state, state.index)
                self._withdrawal_in_force_at.pop(key, None)
            self._states_with_index[key] = known
            self._copies_by_target.setdefault(copy.target, []).append(copy)
        self._adapters_by_base_and_place = _group_adapters_by_base_and_place((
            *state.copies.values(),
            *state.orders.values(),
        ))
        self.withdrawing_copies = tuple(
            kept
            for kept in state.copies.values()
            if kept.state is CopyState.withdrawing
        )
        self.replacement_upstreams = frozenset(
            other.upstream
            for withdrawn in self.withdrawing_copies
            for other in self.copies_of(withdrawn.target)
        )
        for gone in (
            self._withdrawal_in_force_at.keys() - self._states_with_index.keys()
        ):
            self._withdrawal_in_force_at.pop(gone)

    def copies_of(self, target: str) -> Iterable[Copy]:
        """Return the copies of a model or adapter in any state."""
        return self._copies_by_target.get(target, ())

    def can_withdraw(
        self,
        copy: Copy,
        is_in_force: InForceCheck,
        also_withdrawing: Collection[CopyKey] = (),
    ) -> bool:
        """Tell whether a copy can be withdrawn without loss of service.

        `also_withdrawing` names copies that are about to be committed as
        withdrawing: these neither replace this copy nor depend on it.
        """
        if self._has_dependents(copy, also_withdrawing):
            return False
        return self._has_replacement(
            copy, is_in_force, also_withdrawing=also_withdrawing
        )

    def advance_drain(
        self,
        copy: Copy,
        is_in_force: InForceCheck,
        now: float,
    ) -> bool:
        """Advance the drain of a withdrawing copy; tell if it can be unloaded.

        It can if no adapter depends on it, its earlier requests have ended and
        another copy of the target replaces it. Must be called repeatedly: the
        drain starts at the first call at which no adapter depends on the copy
        and no entry can still send it requests.
        The replacement must be ready in an inventory whose read began at most
        `_MAX_INVENTORY_AGE_S` ago.
        """
        if self._has_dependents(copy):
            return False
        if not self._update_drain(copy, is_in_force, now):
            return False
        read_after = now - _MAX_INVENTORY_AGE_S
        return self._has_replacement(copy, is_in_force, read_after=read_after)

    def _has_replacement(
        self,
        copy: Copy,
        is_in_force: InForceCheck,
        *,
        also_withdrawing: Collection[CopyKey] = (),
        read_after: float = 0,
    ) -> bool:
        if self._state.catalogue.find(copy.target) is None:
            return True
        key = copy_key(copy)
        return any(
            self._is_confirmed_serving(other, is_in_force, read_after)
            for other in self.copies_of(copy.target)
            if copy_key(other) != key
            and copy_key(other) not in also_withdrawing
        )

    def _update_drain(
        self,
        copy: Copy,
        is_in_force: InForceCheck,
        now: float,
    ) -> bool:
        """Return whether the requests sent to a withdrawing copy have ended.

        Records the first call at which every live entry has applied the
        withdrawing state of the copy: the drain starts then.
        """
        key = copy_key(copy)
        if not is_in_force(self._states_with_index[key][1]):
            return False
        in_force_at = self._withdrawal_in_force_at.setdefault(key, now)
        watch = self._watches.get(copy.upstream)
        if watch is not None and watch.last_idle_at > in_force_at:
            return True
        return now >= in_force_at + self._drain_timeout_s(copy)

    def _is_confirmed_serving(
        self,
        copy: Copy,
        is_in_force: InForceCheck,
        read_after: float,
    ) -> bool:
        if copy.state is not CopyState.serving:
            return False
        watch = self._watches.get(copy.upstream)
        if watch is None or not watch.is_reachable:
            return False
        if (
            copy.upstream in self.leaving_upstreams
            or watch.read_started_at < read_after
        ):
            return False
        if not watch.has_ready_item(
            copy.target, copy.version, copy.accelerator
        ):
            return False
        return is_in_force(self._states_with_index[copy_key(copy)][1])

    def _has_dependents(
        self,
        copy: Copy,
        also_withdrawing: Collection[CopyKey] | None = None,
    ) -> bool:
        """Tell whether adapters at the place of a copy depend on it.

        Adapters do not depend on the copy if another version of their base
        model is at that place. If `also_withdrawing` is given, withdrawing
        adapters and the adapters that it names are ignored.
        """
        place = (copy.upstream, copy.accelerator)
        dependents = self._adapters_by_base_and_place.get(
            (copy.target, *place), ()
        )
        if also_withdrawing is not None:
            dependents = [
                adapter
                for adapter in dependents
                if copy_key(adapter) not in also_withdrawing
                and not _is_withdrawing(adapter)
            ]
        return bool(dependents) and not any(
            other.version != copy.version
            and (other.upstream, other.accelerator) == place
            for other in self.copies_of(copy.target)
        )

    def _drain_timeout_s(self, copy: Copy) -> float:
        entry = self._state.catalogue.find(copy.target)
        if not isinstance(entry, (ModelEntry, AdapterEntry)):
            return _DEADLINE_MARGIN_S
        return entry.bounds.deadline_ms / _MS_PER_S + _DEADLINE_MARGIN_S


def _is_withdrawing(adapter: Copy | Order) -> bool:
    if isinstance(adapter, Order):
        return False
    return adapter.state is CopyState.withdrawing


def _group_adapters_by_base_and_place(
    items: Iterable[Copy | Order],
) -> dict[tuple[str, str, str], list[Copy | Order]]:
    """Group the copies and orders of adapters by the place of their base.

    A key is the base model, the upstream and the accelerator. Copies and
    orders of models are left out.
    """
    grouped: dict[tuple[str, str, str], list[Copy | Order]] = {}
    for adapter in items:
        if adapter.base:
            key = (adapter.base, adapter.upstream, adapter.accelerator)
            grouped.setdefault(key, []).append(adapter)
    return grouped
