"""The two phases of an unload.

A copy is first committed as withdrawing. It is unloaded when every live entry
has that in force and the engine has finished what it was sent before: either
it reported idle afterwards, or the longest deadline of the target has passed.

Invariant: a copy is withdrawn, and stays withdrawn, only while another copy
of its target is ready in the last inventory of a reachable engine and in
force as serving at every live entry.
"""

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from typing import Final, TypeAlias, final

from persimmonhold.catalogue import AdapterEntry, Catalogue, ModelEntry
from persimmonhold.messages import Copy, CopyState, Order
from persimmonhold.placement._copy_key import CopyKey, copy_key
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._placement_state import PlacementState

_MS_PER_S: Final = 1000
_MARGIN_S: Final = 1.0
InForce: TypeAlias = Callable[[int], bool]


@final
class Withdrawals:
    """When copies came into force, and which may be withdrawn."""

    __slots__ = (
        '_by_target',
        '_dependents',
        '_in_force_at',
        '_seen',
        '_state',
        '_watches',
        'leaving',
        'withdrawing',
    )

    def __init__(self, watches: Mapping[str, EngineWatch]) -> None:
        """Create the record of a leader that has seen no copies yet."""
        self.leaving: frozenset[str] = frozenset()
        self.withdrawing: tuple[Copy, ...] = ()
        self._watches = watches
        self._state = PlacementState(0, Catalogue(), {}, {})
        self._by_target: dict[str, list[Copy]] = {}
        self._dependents: set[tuple[str, str, str]] = set()
        self._seen: dict[CopyKey, tuple[CopyState, int]] = {}
        self._in_force_at: dict[CopyKey, float] = {}

    def adopt(self, state: PlacementState) -> None:
        """Note at which index each copy was first seen in its state."""
        self._state = state
        seen = self._seen
        self._seen = {}
        self._by_target = {}
        for key, copy in state.copies.items():
            known = seen.get(key)
            if known is None or known[0] is not copy.state:
                known = (copy.state, state.index)
                self._in_force_at.pop(key, None)
            self._seen[key] = known
            self._by_target.setdefault(copy.target, []).append(copy)
        self._dependents = {
            *_places_of_bases(state.copies.values()),
            *_places_of_bases(state.orders.values()),
        }
        self.withdrawing = tuple(
            kept
            for kept in state.copies.values()
            if kept.state is CopyState.withdrawing
        )
        for gone in self._in_force_at.keys() - self._seen.keys():
            self._in_force_at.pop(gone)

    def copies_of(self, target: str) -> Iterable[Copy]:
        """Return the copies of a model or adapter in any state."""
        return self._by_target.get(target, ())

    def may_withdraw(
        self,
        copy: Copy,
        is_in_force: InForce,
        withdrawn: Collection[CopyKey] = (),
    ) -> bool:
        """Tell whether callers can do without a copy.

        `withdrawn` names copies whose withdrawal is about to be committed.
        """
        if self._has_dependents(copy):
            return False
        if self._state.catalogue.find(copy.target) is None:
            return True
        key = copy_key(copy)
        return any(
            self._serves(other, is_in_force)
            for other in self.copies_of(copy.target)
            if copy_key(other) != key and copy_key(other) not in withdrawn
        )

    def is_drained(
        self,
        copy: Copy,
        is_in_force: InForce,
        now: float,
    ) -> bool:
        """Tell whether no request can still use a withdrawing copy."""
        key = copy_key(copy)
        if not is_in_force(self._seen[key][1]):
            return False
        in_force_at = self._in_force_at.setdefault(key, now)
        watch = self._watches.get(copy.upstream)
        if watch is not None and watch.idle_at > in_force_at:
            return True
        return now >= in_force_at + self._deadline_s(copy)

    def _serves(self, copy: Copy, is_in_force: InForce) -> bool:
        if copy.state is not CopyState.serving:
            return False
        watch = self._watches.get(copy.upstream)
        if watch is None or not watch.is_reachable:
            return False
        if copy.upstream in self.leaving:
            return False
        if not watch.has_ready(copy.target, copy.version, copy.accelerator):
            return False
        return is_in_force(self._seen[copy_key(copy)][1])

    def _has_dependents(self, copy: Copy) -> bool:
        """Tell whether adapters beside a copy have no other base there."""
        place = (copy.upstream, copy.accelerator)
        if (copy.target, *place) not in self._dependents:
            return False
        return not any(
            other.version != copy.version
            and (other.upstream, other.accelerator) == place
            for other in self.copies_of(copy.target)
        )

    def _deadline_s(self, copy: Copy) -> float:
        entry = self._state.catalogue.find(copy.target)
        if not isinstance(entry, (ModelEntry, AdapterEntry)):
            return _MARGIN_S
        return entry.bounds.deadline_ms / _MS_PER_S + _MARGIN_S


def _places_of_bases(
    items: Iterable[Copy | Order],
) -> Iterator[tuple[str, str, str]]:
    for adapter in items:
        if adapter.base:
            yield (adapter.base, adapter.upstream, adapter.accelerator)
