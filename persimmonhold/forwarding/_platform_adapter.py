"""Interface that each supported platform implements."""

import abc
from typing import TYPE_CHECKING, final

import msgspec

from persimmonhold.forwarding._dialect import Dialect
from persimmonhold.forwarding._entry_status import EntryStatus
from persimmonhold.forwarding._fleet_bounds import FleetBounds
from persimmonhold.forwarding._upstream_client import UpstreamClient
from persimmonhold.web import Address, ExchangeHandler

if TYPE_CHECKING:
    from persimmonhold.control.shell import ControlNode


@final
class ServedAddress(msgspec.Struct, frozen=True):
    """An address to listen on, and the handler of requests to it."""

    address: Address
    handler: ExchangeHandler


class PlatformAdapter(abc.ABC):
    """Converts the headers, documents and calls of one platform.

    `bounds` are the limits that the platform sets, `dialect` converts headers,
    and `upstream_client` lists upstreams and sends orders to them.
    """

    bounds: FleetBounds
    dialect: Dialect
    upstream_client: UpstreamClient

    @abc.abstractmethod
    def create_entry_handlers(
        self, status: EntryStatus
    ) -> tuple[ServedAddress, ...]:
        """Return addresses and handlers of requests that are not forwarded.

        Such requests are, for example, readiness checks.
        """

    @abc.abstractmethod
    def create_operator_handler(self, node: 'ControlNode') -> ExchangeHandler:
        """Return the handler of requests of the platform's operators."""
