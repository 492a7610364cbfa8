"""Interface that each supported platform implements."""

import abc
from typing import final

import msgspec

from persimmonhold.control.shell import ControlNode
from persimmonhold.forwarding._dialect import Dialect
from persimmonhold.forwarding._entry_status import EntryStatus
from persimmonhold.forwarding._fleet_bounds import FleetBounds
from persimmonhold.forwarding._upstream_client import UpstreamClient
from persimmonhold.web import Address, ExchangeHandler


@final
class ServedAddress(msgspec.Struct, frozen=True):
    """An address and the handler of the requests to it."""

    address: Address
    handler: ExchangeHandler


class PlatformAdapter(abc.ABC):
    """Translates between a platform and this system; makes no decisions."""

    bounds: FleetBounds
    dialect: Dialect
    upstream_client: UpstreamClient

    @abc.abstractmethod
    def create_entry_handlers(
        self, status: EntryStatus
    ) -> tuple[ServedAddress, ...]:
        """Return the addresses for requests that an entry does not forward.

        Such requests are, for example, readiness checks.
        """

    @abc.abstractmethod
    def create_operator_handler(self, node: ControlNode) -> ExchangeHandler:
        """Return the handler of requests of the platform's operators."""
