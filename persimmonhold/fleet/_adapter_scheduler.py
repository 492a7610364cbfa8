"""Loads adapters by need, at the request of entries.

Answers requests that name an adapter when the adapters do not all fit at
once: one that is asked for is loaded on the way of its request, in the place
of the one that was used least recently. One that requests run with stays: its
eviction would wait for them, and hold up all other orders of the upstream.
"""

import math
from collections.abc import Collection
from typing import Final, final

import msgspec

from persimmonhold.fleet._fleet_messages import AdapterReply, AdapterRequest
from persimmonhold.fleet._fleet_order import (
    FleetOrder,
    FleetOrderKind,
    OrderVerdict,
)
from persimmonhold.fleet._upstream_ledger import UpstreamLedger
from persimmonhold.routes import EngineSpec

_LOAD_BASE_S: Final = 0.006  # the small adapter of the sheets takes 5 ms
_LOAD_PER_MB_S: Final = 0.00015  # 66 MB take 9.7 to 14 ms
_MAX_IN_TRANSIT: Final = 4  # adapters on their way to one upstream
_REPLY_TIMEOUT_S: Final = 0.6  # an entry has given up by then
_MAX_PENDING: Final = 512
_UNREPORTED_USE_S: Final = 0.25  # a request may run that no entry has reported


@final
class _PendingAdapter(msgspec.Struct):
    """One adapter that is waited for, and by whom."""

    model: str
    adapter: str
    requested_at: float
    waiting: dict[tuple[str, int], None]
    ready_at: float = math.inf


@final
class AdapterScheduler:
    """The adapters that are asked for at one upstream."""

    __slots__ = ('pending', 'last_used_at')

    def __init__(self) -> None:
        """Create a desk without requests."""
        self.pending: dict[tuple[str, str], _PendingAdapter] = {}
        self.last_used_at: dict[tuple[str, str], float] = {}

    def request_adapter(
        self,
        entry: str,
        request: AdapterRequest,
        ledger: UpstreamLedger,
        now: float,
    ) -> AdapterReply | None:
        """Take a request; return the reply where it is known already."""
        key = (request.model, request.adapter)
        self.last_used_at[key] = now
        pending = self.pending.get(key)
        if pending is not None:
            pending.waiting[entry, request.request_id] = None
            return None
        if ledger.is_held(*key):
            return _make_reply(request.request_id, is_ready=True)
        reason = self._refusal_reason(request, ledger)
        if reason:
            return _make_reply(request.request_id, reason=reason)
        waiting = {(entry, request.request_id): None}
        self.pending[key] = _PendingAdapter(
            *key, requested_at=now, waiting=waiting
        )
        return None

    def next_order(
        self,
        ledger: UpstreamLedger,
        spec: EngineSpec,
        in_use: Collection[tuple[str, str]],
        now: float,
    ) -> FleetOrder | None:
        """Return the next order of an adapter, or None.

        `in_use` names the adapters that requests run with.
        """
        self.last_used_at.update(dict.fromkeys(in_use, now))
        if not ledger.is_idle:
            return None
        in_transit = sum(
            now < pending.ready_at < math.inf
            for pending in self.pending.values()
        )
        for key, pending in self.pending.items():
            if pending.ready_at < math.inf or in_transit >= _MAX_IN_TRANSIT:
                continue
            if not ledger.is_held(pending.model):
                continue
            if ledger.adapter_count < spec.adapter_slots:
                return _make_order(FleetOrderKind.load, key, ledger)
            victim = self._choose_victim(ledger, now)
            if victim is not None:
                return _make_order(FleetOrderKind.evict, victim, ledger)
        return None

    def record_order_outcome(
        self,
        order: FleetOrder,
        verdict: OrderVerdict,
        adapter_mb: float,
        now: float,
    ) -> None:
        """Take what the upstream said of an order of an adapter."""
        pending = self.pending.get((order.model, order.adapter))
        if pending is None or order.kind is FleetOrderKind.evict:
            return
        if verdict is OrderVerdict.accepted:
            pending.ready_at = now + _LOAD_BASE_S + _LOAD_PER_MB_S * adapter_mb
        elif verdict is OrderVerdict.holds:
            pending.ready_at = now

    def pop_due_replies(
        self,
        ledger: UpstreamLedger,
        now: float,
    ) -> list[tuple[str, AdapterReply]]:
        """Return the replies that are due, with the entry of each."""
        replies: list[tuple[str, AdapterReply]] = []
        for key, pending in tuple(self.pending.items()):
            reason = self._failure_reason(pending, ledger, now)
            if now < pending.ready_at and not reason:
                continue
            self.pending.pop(key)
            replies.extend(
                (entry, _make_reply(number, is_ready=not reason, reason=reason))
                for entry, number in pending.waiting
            )
        return replies

    def next_due_at(self) -> float:
        """Return when the next reply is due."""
        return min(
            (ask.ready_at for ask in self.pending.values()), default=math.inf
        )

    def _refusal_reason(
        self,
        request: AdapterRequest,
        ledger: UpstreamLedger,
    ) -> str:
        if len(self.pending) >= _MAX_PENDING:
            return 'too many adapters are asked for'
        if request.model not in ledger.held:
            return 'the model is not held'
        if ledger.loading or ledger.evicting or ledger.retiring:
            return 'an order of a model is being carried out'
        return ''

    def _failure_reason(
        self, pending: _PendingAdapter, ledger: UpstreamLedger, now: float
    ) -> str:
        if pending.ready_at < math.inf:
            return ''
        if ledger.is_settled and not ledger.is_held(pending.model):
            return 'the model is not held any more'
        return (
            'no answer in time'
            if now > pending.requested_at + _REPLY_TIMEOUT_S
            else ''
        )

    def _choose_victim(
        self,
        ledger: UpstreamLedger,
        now: float,
    ) -> tuple[str, str] | None:
        """Return the adapter that was used least recently, if not just now."""
        used_before = now - _UNREPORTED_USE_S
        held = [
            (model, adapter)
            for model, adapters in ledger.held.items()
            for adapter in adapters
            if (model, adapter) not in self.pending
            and self.last_used_at.get((model, adapter), -math.inf)
            <= used_before
        ]
        return min(
            held,
            key=lambda key: (self.last_used_at.get(key, -math.inf), key),
            default=None,
        )


def _make_order(
    kind: FleetOrderKind,
    key: tuple[str, str],
    ledger: UpstreamLedger,
) -> FleetOrder:
    model, adapter = key
    return FleetOrder(
        kind=kind,
        model=model,
        adapter=adapter,
        expected=ledger.accepted_orders,
    )


def _make_reply(
    number: int,
    *,
    is_ready: bool = False,
    reason: str = '',
) -> AdapterReply:
    return AdapterReply(request_id=number, is_ready=is_ready, reason=reason)
