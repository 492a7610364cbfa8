"""Interface of the receiver of polled reports."""

import abc
from collections.abc import Iterable

from persimmonhold.catalogue import UpstreamEntry
from persimmonhold.messages import CacheEventPage, LoadReport


class UpstreamObserver(abc.ABC):
    """Names the upstreams to poll and receives their reports."""

    @abc.abstractmethod
    def select_polled_upstreams(self) -> Iterable[UpstreamEntry]:
        """Return the upstreams that this entry uses and polls."""

    @abc.abstractmethod
    def upstream_names_by_address(self) -> dict[str, str]:
        """Return the names of all upstreams by address."""

    @abc.abstractmethod
    def apply_load_report(self, upstream: str, report: LoadReport) -> None:
        """Apply a load report of an engine."""

    @abc.abstractmethod
    def update_leaving_state(self, upstream: str, is_leaving: bool) -> None:
        """Record whether an upstream is leaving."""

    @abc.abstractmethod
    def record_refused_connection(self, upstream: str) -> None:
        """Record that a connection to an upstream failed."""

    @abc.abstractmethod
    def apply_cache_events(
        self,
        upstream: str,
        page: CacheEventPage,
    ) -> None:
        """Apply a page of cache events."""
