"""The orders of the waiting requests of all services at an entry."""

from collections.abc import Mapping
from typing import TypeAlias, final

from persimmonhold.fleet._request_queue import PendingRequest, RequestQueue
from persimmonhold.fleet._waiting_order import WaitingOrder

_QueueKey: TypeAlias = tuple[str, str]  # service and model


@final
class ServiceOrders:
    """Orders the waiting requests of each service apart from the others."""

    __slots__ = ('by_service',)

    def __init__(self) -> None:
        """Create the orders of an entry without requests."""
        self.by_service: dict[str, WaitingOrder] = {}

    def find(self, service: str) -> WaitingOrder:
        """Return the order of a service's requests, created on first use."""
        return self.by_service.setdefault(service, WaitingOrder())

    def list_waiting(
        self, queues: Mapping[_QueueKey, RequestQueue], now: float
    ) -> list[PendingRequest]:
        """Return the waiting requests of all services, each in its order."""
        used: dict[str, list[RequestQueue]] = {}
        for (service, _), queue in queues.items():
            if queue.pending:
                used.setdefault(service, []).append(queue)
        waiting: list[PendingRequest] = []
        for name, service_queues in used.items():
            waiting.extend(self.find(name).arrange(service_queues, now))
        return waiting
