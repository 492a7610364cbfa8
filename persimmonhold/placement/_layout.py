"""Indexes of current copies by target and by place.

A copy is current if it has the catalogued version, is serving, loading or
ordered, and its engine is alive. Copies being withdrawn are left out; copies
of other versions and of targets not in the catalogue are listed separately.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import final

from persimmonhold.catalogue import (
    AdapterEntry,
    Catalogue,
    ModelEntry,
    UpstreamEntry,
)
from persimmonhold.messages import Copy, CopyState, OrderKind
from persimmonhold.placement._place import Place
from persimmonhold.placement._planner_input import PlannerInput


@final
class Layout:
    """Current copies in one planning round, by target and by place.

    `holders` maps a target to the places that have, or are about to get, a
    copy of it; `serving` maps it to the places where its copy serves.
    `models_at` and `adapters_at` map a place to the models and adapters there.
    `places` lists the accelerators where copies can be loaded.
    `other_version_copies` maps a target to its copies of other versions than
    the catalogued one, `uncatalogued_copies` are of targets that are not in
    the catalogue.
    """

    __slots__ = (
        '_catalogued_versions',
        'adapters_at',
        'domain_by_upstream',
        'holders',
        'models_at',
        'other_version_copies',
        'places',
        'serving',
        'uncatalogued_copies',
    )

    def __init__(self, planner_input: PlannerInput) -> None:
        """Index the copies and ordered loads of a planning round."""
        catalogue = planner_input.state.catalogue
        self.domain_by_upstream: dict[str, str] = {}
        self.places: list[Place] = []
        self.holders: dict[str, set[Place]] = defaultdict(set)
        self.serving: dict[str, set[Place]] = defaultdict(set)
        self.models_at: dict[Place, list[str]] = {}
        self.adapters_at: dict[Place, set[str]] = {}
        self.other_version_copies: dict[str, list[Copy]] = {}
        self.uncatalogued_copies: list[Copy] = []
        self._catalogued_versions = _map_catalogued_versions(catalogue)
        self._add_places(planner_input)
        self._add_copies(planner_input)
        self._add_ordered_loads(planner_input)

    def add_holder(self, target: str, base: str, place: Place) -> None:
        """Add an ordered or planned copy of a target at a place.

        A copy that is already there is not added again. `base` is the base
        model of an adapter, and empty for a model.
        """
        if base:
            self.adapters_at.setdefault(place, set()).add(target)
        holders = self.holders[target]
        if place in holders:
            return
        holders.add(place)
        if not base:
            self.models_at.setdefault(place, []).append(target)

    def remove_holder(self, target: str, place: Place) -> None:
        """Remove the copy of a model at a place from the layout."""
        self.holders[target].discard(place)
        self.serving.get(target, set()).discard(place)
        if target in self.models_at.get(place, ()):
            self.models_at[place].remove(target)

    @property
    def has_loading_copies(self) -> bool:
        """Tell whether any current copy of any target does not serve yet."""
        return any(
            holders - self.serving.get(target, set())
            for target, holders in self.holders.items()
        )

    def serving_copies_of_other_versions(self, target: str) -> list[Copy]:
        """Return the serving copies of a target in other versions.

        Their version is not the one in the catalogue.
        """
        return [
            copy
            for copy in self.other_version_copies.get(target, ())
            if copy.state is CopyState.serving
        ]

    def count_copies_in_domain(self, target: str, place: Place) -> int:
        """Count the copies of a target in the failure domain of a place."""
        domain = self.domain_by_upstream[place.upstream]
        return sum(
            self.domain_by_upstream[holder.upstream] == domain
            for holder in self.holders.get(target, ())
        )

    def count_domains(self, target: str) -> int:
        """Count the failure domains that have a copy of a target."""
        return len({
            self.domain_by_upstream[holder.upstream]
            for holder in self.holders.get(target, ())
        })

    def _add_places(self, planner_input: PlannerInput) -> None:
        usable: set[str] = set()
        for upstream in planner_input.state.catalogue.entries_of_type(
            UpstreamEntry
        ):
            status = planner_input.engines.get(upstream.name)
            if status is None:
                continue
            self.domain_by_upstream[upstream.name] = upstream.failure_domain
            if status.is_alive and status.takes_loads:
                usable.add(upstream.name)
        self.places.extend(
            place
            for place in planner_input.ledger.capacity_bytes
            if place.upstream in usable
        )

    def _add_copies(self, planner_input: PlannerInput) -> None:
        """Sort the copies on engines that are alive into the indexes.

        This loop takes most of the time of a round in large systems.
        """
        alive = {
            status.name
            for status in planner_input.engines.values()
            if status.is_alive
        }
        versions = self._catalogued_versions
        for key, copy in planner_input.state.copies.items():
            target, version, upstream, accelerator = key
            if upstream not in alive:
                continue
            if versions.get(target) != version:
                self._add_copy_of_other_version(copy)
            elif copy.state is not CopyState.withdrawing:
                self._add_current_copy(copy, Place(upstream, accelerator))

    def _add_copy_of_other_version(self, copy: Copy) -> None:
        if copy.target in self._catalogued_versions:
            self.other_version_copies.setdefault(copy.target, []).append(copy)
        else:
            self.uncatalogued_copies.append(copy)

    def _add_current_copy(self, copy: Copy, place: Place) -> None:
        self.holders[copy.target].add(place)
        if copy.base:
            self.adapters_at.setdefault(place, set()).add(copy.target)
        else:
            self.models_at.setdefault(place, []).append(copy.target)
        if copy.state is CopyState.serving:
            self.serving[copy.target].add(place)

    def _add_ordered_loads(self, planner_input: PlannerInput) -> None:
        for order in planner_input.state.orders.values():
            if order.kind is not OrderKind.load:
                continue
            status = planner_input.engines.get(order.upstream)
            if status is None or not status.is_alive:
                continue
            if self._catalogued_versions.get(order.target) == order.version:
                place = Place(order.upstream, order.accelerator)
                self.add_holder(order.target, order.base, place)


def _map_catalogued_versions(catalogue: Catalogue) -> dict[str, str]:
    entries: Iterable[ModelEntry | AdapterEntry] = (
        *catalogue.entries_of_type(ModelEntry),
        *catalogue.entries_of_type(AdapterEntry),
    )
    return {entry.name: entry.version for entry in entries}
