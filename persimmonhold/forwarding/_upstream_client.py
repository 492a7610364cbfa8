"""Interface for reading and controlling the upstreams of a platform."""

import abc

from returns.result import Result

from persimmonhold.failures import Failure
from persimmonhold.fleet import (
    FleetOrder,
    ListedUpstream,
    OrderVerdict,
    UpstreamReport,
)


class UpstreamClient(abc.ABC):
    """Client of one platform's protocol for lists, reports and orders."""

    @abc.abstractmethod
    async def read_list(self) -> Result[tuple[ListedUpstream, ...], Failure]:
        """Return all upstreams that the platform lists."""

    @abc.abstractmethod
    async def read_report(
        self,
        upstream: str,
        address: str,
    ) -> Result[UpstreamReport, Failure]:
        """Return the state that an upstream with models reports."""

    @abc.abstractmethod
    async def send_order(
        self,
        upstream: str,
        address: str,
        order: FleetOrder,
        fencing_token: int,
    ) -> OrderVerdict:
        """Send an order and return the upstream's verdict on it.

        The fencing token increases with each order of the whole system.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the pooled connections."""
