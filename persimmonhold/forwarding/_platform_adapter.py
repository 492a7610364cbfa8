"""What a platform brings so that the product runs on it."""

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
    """An address, and what answers there."""

    address: Address
    handler: ExchangeHandler


class PlatformAdapter(abc.ABC):
    """Translates between a platform and the product; it decides nothing."""

    bounds: FleetBounds
    dialect: Dialect
    upstream_client: UpstreamClient

    @abc.abstractmethod
    def create_entry_handlers(
        self, status: EntryStatus
    ) -> tuple[ServedAddress, ...]:
        """Return what an entry answers besides the requests of callers."""

    @abc.abstractmethod
    def create_operator_handler(self, node: ControlNode) -> ExchangeHandler:
        """Return what answers the operators of the platform."""
