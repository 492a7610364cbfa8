"""Finds upstreams by their service and by the models that they hold."""

from typing import final

from persimmonhold.fleet._upstream_facts import UpstreamFacts
from persimmonhold.fleet._upstream_tracker import UpstreamTracker


@final
class UpstreamGroups:
    """The trackers of upstreams by service, and by service and model.

    A tracker is removed before its facts change and added again after, so that
    a change takes no time in proportion to the fleet.
    """

    __slots__ = ('by_model', 'by_service')

    def __init__(self) -> None:
        """Create empty groups."""
        self.by_service: dict[str, list[UpstreamTracker]] = {}
        self.by_model: dict[tuple[str, str], list[UpstreamTracker]] = {}

    def add(self, tracker: UpstreamTracker) -> None:
        """Add an upstream to the groups that its facts name."""
        service, models = tracker.facts.group
        self.by_service.setdefault(service, []).append(tracker)
        for model in models:
            self.by_model.setdefault((service, model), []).append(tracker)

    def find_build(self, facts: UpstreamFacts) -> str:
        """Return the build of an upstream.

        Empty where no upstream of its service states a version.
        """
        if facts.software_version or any(
            tracker.facts.software_version
            for tracker in self.by_service.get(facts.service, ())
        ):
            return facts.build
        return ''

    def has_build(self, service: str, build: str, now: float) -> bool:
        """Tell whether an available upstream is of a build; '' for any."""
        return not build or any(
            tracker.facts.build == build and tracker.is_available(now)
            for tracker in self.by_service.get(service, ())
        )

    def holds_model(self, service: str, model: str, build: str) -> bool:
        """Tell whether an upstream of a build holds a model, and serves.

        The fleet controller does not count one that leaves or is silent.
        """
        return any(
            tracker.facts.build == build and tracker.facts.is_serving
            for tracker in self.by_model.get((service, model), ())
        )

    def remove(self, tracker: UpstreamTracker) -> None:
        """Remove an upstream from the groups that its facts name."""
        service, models = tracker.facts.group
        self.by_service[service].remove(tracker)
        for model in models:
            self.by_model[service, model].remove(tracker)
