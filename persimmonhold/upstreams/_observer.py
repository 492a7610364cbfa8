"""Interface of the component that polled reports are passed to."""

import abc
from collections.abc import Iterable

from persimmonhold.catalogue import UpstreamEntry
from persimmonhold.messages import CacheEventPage, LoadReport


class UpstreamObserver(abc.ABC):
    """Names the upstreams to poll and receives their reports."""

    @abc.abstractmethod
    def select_polled_upstreams(self) -> Iterable[UpstreamEntry]:
        """Choose and return the upstreams that this entry uses and polls."""

    @abc.abstractmethod
    def upstream_names_by_address(self) -> dict[str, str]:
        """Return the names of all upstreams, keyed by their `ip:port`."""

    @abc.abstractmethod
    def apply_load_report(self, upstream: str, report: LoadReport) -> None:
        """Apply a load report of the engine `upstream` to routing."""

    @abc.abstractmethod
    def update_leaving_state(self, upstream: str, is_leaving: bool) -> None:
        """Record whether an upstream is about to be removed."""

    @abc.abstractmethod
    def record_refused_connection(self, upstream: str) -> None:
        """Record that no connection to an upstream could be opened."""

    @abc.abstractmethod
    def apply_cache_events(
        self,
        upstream: str,
        page: CacheEventPage,
    ) -> None:
        """Apply a page of prefix cache events of the engine `upstream`."""
