"""Schedules the adapter loads that entries request at an upstream.

An upstream has fewer slots than there are adapters. An adapter is loaded when
a request needs it; if no slot is free, the least recently used adapter is
evicted first. An adapter with running requests is not evicted: the eviction
would wait for them and delay all other orders to the upstream.
"""

import math
from collections.abc import Collection
from typing import Final, final

import msgspec

from persimmonhold.fleet._fleet_messages import (
    AdapterLoadReply,
    AdapterLoadRequest,
)
from persimmonhold.fleet._fleet_order import (
    FleetOrder,
    FleetOrderKind,
    OrderVerdict,
)
from persimmonhold.fleet._upstream_ledger import UpstreamLedger
from persimmonhold.routes import EngineSpec

# Assumed time to load an adapter, without the part that grows with its size.
# The small adapter in the platform documentation loads in 5 ms.
_LOAD_BASE_S: Final = 0.006
# Additional load time per megabyte; 66 MB load in 9.7 to 14 ms in total.
_LOAD_PER_MB_S: Final = 0.00015
_MAX_IN_TRANSIT: Final = 4  # adapters loading at one upstream at a time
_REPLY_TIMEOUT_S: Final = 0.6  # entries give up earlier, after 0.3 s
_MAX_PENDING: Final = 512  # requested adapters at one upstream
_MAX_REMEMBERED: Final = 128  # adapters with a time of use at one upstream
# An adapter used within this time is not evicted: it may be serving a request
# that its entry has not reported yet.
_UNREPORTED_USE_S: Final = 0.25


@final
class _PendingAdapter(msgspec.Struct):
    """An adapter that entries asked to load, until they get their replies.

    `waiting` has the (entry, request id) of the load requests to reply to, in
    order of arrival. `ready_at` is when the load should be complete, or
    infinity until the upstream accepts the order.
    """

    model: str
    adapter: str
    requested_at: float
    waiting: dict[tuple[str, int], None]
    ready_at: float = math.inf


@final
class AdapterScheduler:
    """Schedules the adapter loads and evictions of one upstream.

    `pending` has the adapters to be loaded, and `last_used_at` the time of the
    last known use of an adapter. Both are keyed by (model, adapter).
    """

    __slots__ = ('last_used_at', 'pending')

    def __init__(self) -> None:
        """Create a scheduler without pending requests."""
        self.pending: dict[tuple[str, str], _PendingAdapter] = {}
        self.last_used_at: dict[tuple[str, str], float] = {}

    def request_adapter(
        self,
        entry: str,
        request: AdapterLoadRequest,
        ledger: UpstreamLedger,
        now: float,
    ) -> AdapterLoadReply | None:
        """Enqueue the load request of an entry, or reply to it at once.

        Returns the reply if the adapter is loaded or the load is refused, and
        None if `pop_due_replies` will return the reply.
        """
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
        """Return the next load or eviction, or None if there is none now.

        `in_use` names the adapters of running requests, by (model, adapter);
        they are recorded as used now.
        """
        self.last_used_at.update(dict.fromkeys(in_use, now))
        self._forget_unknown(ledger)
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
        """Record when an adapter that the upstream accepted will be loaded.

        Evictions, and orders that the upstream refused, change nothing here.
        """
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
    ) -> list[tuple[str, AdapterLoadReply]]:
        """Remove and return the replies that are due, as (entry, reply).

        A reply is due when the adapter should be loaded, or when its load has
        failed or timed out.
        """
        replies: list[tuple[str, AdapterLoadReply]] = []
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
        """Return when the next load should be done; infinity if none runs."""
        return min(
            (one.ready_at for one in self.pending.values()), default=math.inf
        )

    def _forget_unknown(self, ledger: UpstreamLedger) -> None:
        """Drop adapters that the upstream neither holds nor is to load.

        Callers may name adapters that do not exist.
        """
        if len(self.last_used_at) > _MAX_REMEMBERED:
            self.last_used_at = {
                key: used_at
                for key, used_at in self.last_used_at.items()
                if key in self.pending or ledger.is_held(*key)
            }

    def _refusal_reason(
        self,
        request: AdapterLoadRequest,
        ledger: UpstreamLedger,
    ) -> str:
        """Return why a load cannot be scheduled; empty if it can."""
        if len(self.pending) >= _MAX_PENDING:
            return 'too many adapter requests are pending'
        if request.model not in ledger.held:
            return 'the upstream does not hold the model'
        if request.model in ledger.retiring:
            return 'the model is about to be evicted'
        if ledger.loading or ledger.evicting:
            return 'a model order is in progress'
        return ''

    def _failure_reason(
        self, pending: _PendingAdapter, ledger: UpstreamLedger, now: float
    ) -> str:
        """Return why a requested load has failed; empty if it has not."""
        if pending.ready_at < math.inf:
            return ''
        if ledger.is_content_known and not ledger.is_held(pending.model):
            return 'the upstream no longer holds the model'
        if ledger.loading or ledger.evicting:
            return 'a model order is in progress'
        return (
            'adapter load timed out'
            if now > pending.requested_at + _REPLY_TIMEOUT_S
            else ''
        )

    def _choose_victim(
        self,
        ledger: UpstreamLedger,
        now: float,
    ) -> tuple[str, str] | None:
        """Return the least recently used evictable adapter, or None."""
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
    request_id: int,
    *,
    is_ready: bool = False,
    reason: str = '',
) -> AdapterLoadReply:
    return AdapterLoadReply(
        request_id=request_id, is_ready=is_ready, reason=reason
    )
