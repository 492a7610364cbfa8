"""The endpoints of every target in one control view.

Invariants: every endpoint of a model has a serving copy of the model; every
endpoint of an adapter has serving copies of the adapter and of its base
model; the endpoints of a service are its replicas in the catalogue. The
endpoints of a target are sorted by the names of their upstreams.
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
from persimmonhold.routing._endpoint import Endpoint


@final
class EndpointIndex:
    """The endpoints of one control view, by target.

    `targets_by_upstream` lists the targets that have an endpoint at an
    upstream. `targets_with_non_serving_copy` have at least one copy that is
    loading or withdrawing.
    """

    __slots__ = (
        'endpoints_by_target',
        'targets_with_non_serving_copy',
        'targets_by_upstream',
        'upstreams',
    )

    def __init__(self, view: ControlView) -> None:
        """Index the copies and upstreams of a view."""
        self.endpoints_by_target: dict[str, tuple[Endpoint, ...]] = {}
        self.targets_by_upstream: dict[str, frozenset[str]] = {}
        self.upstreams = {
            upstream.name: upstream
            for upstream in view.catalogue.entries_of_type(UpstreamEntry)
        }
        self.targets_with_non_serving_copy = frozenset(
            copy.target
            for copy in view.copies
            if copy.state is not CopyState.serving
        )
        self._index_copies(view)
        self._index_services()
        self._index_targets_by_upstream()

    def _index_copies(self, view: ControlView) -> None:
        serving = _map_serving_copies(view)
        for target, copies in serving.items():
            entry = view.catalogue.find(target)
            usable = copies.keys() & self.upstreams.keys()
            if isinstance(entry, AdapterEntry):
                usable &= serving.get(entry.base, {}).keys()
            current = _find_catalogue_version(view.catalogue, target)
            self.endpoints_by_target[target] = tuple(
                self._build_endpoint(copies[name], current)
                for name in sorted(usable)
            )

    def _build_endpoint(self, copy: Copy, current: str) -> Endpoint:
        is_current = copy.version == current
        return Endpoint(self.upstreams[copy.upstream], copy.version, is_current)

    def _index_services(self) -> None:
        replicas: dict[str, list[Endpoint]] = defaultdict(list)
        for name in sorted(self.upstreams):
            upstream = self.upstreams[name]
            if upstream.service:
                endpoint = Endpoint(upstream, '', is_current=True)
                replicas[upstream.service].append(endpoint)
        for service, endpoints in replicas.items():
            self.endpoints_by_target[service] = tuple(endpoints)

    def _index_targets_by_upstream(self) -> None:
        targets: dict[str, set[str]] = defaultdict(set)
        for target, endpoints in self.endpoints_by_target.items():
            for endpoint in endpoints:
                targets[endpoint.upstream.name].add(target)
        self.targets_by_upstream = {
            name: frozenset(found) for name, found in targets.items()
        }


def _find_catalogue_version(catalogue: Catalogue, target: str) -> str:
    entry = catalogue.find(target)
    if isinstance(entry, (AdapterEntry, ModelEntry)):
        return entry.version
    return ''


def _map_serving_copies(view: ControlView) -> dict[str, dict[str, Copy]]:
    """Return the serving copies by target and upstream.

    If an upstream serves several versions of a target, the copy with the
    catalogue's version is returned.
    """
    serving: dict[str, dict[str, Copy]] = defaultdict(dict)
    for copy in view.copies:
        if copy.state is not CopyState.serving:
            continue
        known = serving[copy.target].get(copy.upstream)
        current = _find_catalogue_version(view.catalogue, copy.target)
        if known is None or copy.version == current:
            serving[copy.target][copy.upstream] = copy
    return serving
