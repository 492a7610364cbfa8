"""The sites of every target in one control view.

Invariants: a model's sites have a serving copy of it; an adapter's sites
have serving copies of the adapter and of its base model; a service's sites
are its replicas in the catalogue. Sites are in the order of their names.
"""

from collections import defaultdict
from typing import final

from persimmonhold.catalogue import (
    AdapterEntry,
    Catalogue,
    ModelEntry,
    UpstreamEntry,
)
from persimmonhold.messages import ControlView, Copy, CopyState
from persimmonhold.routing._copy_site import CopySite


@final
class CopyIndex:
    """Sites by target, built once for each view."""

    __slots__ = ('loading', 'sites', 'targets', 'upstreams')

    def __init__(self, view: ControlView) -> None:
        """Index a view."""
        self.sites: dict[str, tuple[CopySite, ...]] = {}
        self.targets: dict[str, frozenset[str]] = {}
        self.upstreams = {
            upstream.name: upstream
            for upstream in view.catalogue.entries_of_type(UpstreamEntry)
        }
        self.loading = frozenset(
            copy.target
            for copy in view.copies
            if copy.state is not CopyState.serving
        )
        self._add_copies(view)
        self._add_services()
        self._add_targets()

    def _add_copies(self, view: ControlView) -> None:
        serving = _serving_copies(view)
        for target, copies in serving.items():
            entry = view.catalogue.find(target)
            usable = copies.keys() & self.upstreams.keys()
            if isinstance(entry, AdapterEntry):
                usable &= serving.get(entry.base, {}).keys()
            current = _version(view.catalogue, target)
            self.sites[target] = tuple(
                self._site(copies[name], current) for name in sorted(usable)
            )

    def _site(self, copy: Copy, current: str) -> CopySite:
        is_current = copy.version == current
        return CopySite(self.upstreams[copy.upstream], copy.version, is_current)

    def _add_services(self) -> None:
        replicas: dict[str, list[CopySite]] = defaultdict(list)
        for name in sorted(self.upstreams):
            upstream = self.upstreams[name]
            if upstream.service:
                site = CopySite(upstream, '', is_current=True)
                replicas[upstream.service].append(site)
        for service, sites in replicas.items():
            self.sites[service] = tuple(sites)

    def _add_targets(self) -> None:
        targets: dict[str, set[str]] = defaultdict(set)
        for target, sites in self.sites.items():
            for site in sites:
                targets[site.upstream.name].add(target)
        self.targets = {
            name: frozenset(found) for name, found in targets.items()
        }


def _version(catalogue: Catalogue, target: str) -> str:
    entry = catalogue.find(target)
    if isinstance(entry, (AdapterEntry, ModelEntry)):
        return entry.version
    return ''


def _serving_copies(view: ControlView) -> dict[str, dict[str, Copy]]:
    """Return copies by target and upstream, the current version first."""
    serving: dict[str, dict[str, Copy]] = defaultdict(dict)
    for copy in view.copies:
        if copy.state is not CopyState.serving:
            continue
        known = serving[copy.target].get(copy.upstream)
        current = _version(view.catalogue, copy.target)
        if known is None or copy.version == current:
            serving[copy.target][copy.upstream] = copy
    return serving
