"""How the upstreams of a platform are asked and given orders."""

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
    """One protocol of lists, reports and orders."""

    @abc.abstractmethod
    async def read_list(self) -> Result[tuple[ListedUpstream, ...], Failure]:
        """Return all upstreams, as the platform lists them."""

    @abc.abstractmethod
    async def read_report(
        self,
        upstream: str,
        address: str,
    ) -> Result[UpstreamReport, Failure]:
        """Return what an upstream with models says of itself."""

    @abc.abstractmethod
    async def send_order(
        self,
        upstream: str,
        address: str,
        order: FleetOrder,
        fence: int,
    ) -> OrderVerdict:
        """Give an order, and return what the upstream said of it.

        The fence rises with each order of the whole system.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections that are kept."""
