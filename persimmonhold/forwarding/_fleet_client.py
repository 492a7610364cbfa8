"""An entry's communication with the fleet controller.

The entry reports its load and demand, and receives facts about the upstreams
and replies to adapter requests. When the newest list is too old, the entry
reads the list itself, so that a leaving upstream gets no new requests.
"""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Final, TypeVar, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.control.shell import VmAgentRunner
from persimmonhold.fleet import (
    AdapterLoadReply,
    AdapterLoadRequest,
    CreditReply,
    CreditRequest,
    FleetMessage,
    FleetUpdate,
    PermitReply,
    PermitRequest,
    StatedLimit,
)
from persimmonhold.forwarding._forward_hub import ForwardHub
from persimmonhold.forwarding._slot_permits import SlotPermits
from persimmonhold.forwarding._upstream_client import UpstreamClient
from persimmonhold.observability import LogLevel, log_event
from persimmonhold.quarantine import QuarantineUpdate
from persimmonhold.streams import (
    StreamOrigin,
    StreamOriginReply,
    StreamOriginRequest,
)
from persimmonhold.tasks import wait_with_timeout
from persimmonhold.transport import Channel, Transport

_ReplyT = TypeVar('_ReplyT', AdapterLoadReply, PermitReply, StreamOriginReply)
# The first request id is random, so that an entry reuses no id after a restart.
_ID_BITS: Final = 32
_MAX_REPORT_INTERVAL_S: Final = 0.1  # the planning interval of the controller
# A report without news is sent this often. It confirms the last update, and
# the controller drops an entry that is silent for 2 s.
_BEAT_S: Final = 0.5
# Interval between reports while requests are waiting, of few entries.
_MIN_REPORT_INTERVAL_S: Final = 0.02
# Of all entries together; the controller needs up to a millisecond for each.
_MAX_REPORTS_PER_S: Final = 1000.0
# An entry that is silent for 2 s is dropped.
_LONGEST_REPORT_INTERVAL_S: Final = 0.6
# Interval between transmissions of an adapter request; loading an adapter takes
# about 20 ms, transmission included.
_RESEND_INTERVAL_S: Final = 0.08
_ADAPTER_TIMEOUT_S: Final = 0.3
# A permit takes a round trip to the fleet controller.
_PERMIT_TIMEOUT_S: Final = 0.2
# Covers two retransmissions.
_ORIGIN_TIMEOUT_S: Final = 0.3
# Then an entry that is not sure of an origin itself waits on: it would refuse
# the stream, and a caller may have no further try. A busy machine has held an
# entry up for 0.7 s. Callers wait two seconds for the next event.
_LATE_ORIGIN_S: Final = 1.2
# Time until the next permit request for an upstream after one without a reply.
_UNANSWERED_PERMIT_WAIT_S: Final = 0.5
# Without a newer list for this long, the entry reads the list itself. Updates
# arrive every 0.1 s, lists every 0.5 s.
_MAX_LIST_AGE_S: Final = 1.5
# The reads of all entries together; the platform allows some tens of calls a
# second, and a list of many upstreams takes several.
_LIST_READS_PER_S: Final = 6.0
_MIN_LIST_READ_INTERVAL_S: Final = 0.4

_DECODER: Final = msgspec.msgpack.Decoder[FleetMessage](FleetMessage)


@final
class FleetClient:
    """Sends reports and adapter requests of one entry; applies updates.

    `reported` is what the last report told, and to which VM, at `reported_at`.
    `credit_handler` gets the replies to credit requests.
    """

    __slots__ = (
        'credit_handler',
        'hub',
        'list_lock',
        'list_read_at',
        'own_list_read_at',
        'pending_origins',
        'pending_permits',
        'pending_replies',
        'reported',
        'reported_at',
        'request_ids',
        'rng',
        'slots',
        'transport',
        'upstream_client',
        'vm',
    )

    def __init__(
        self,
        hub: ForwardHub,
        vm: VmAgentRunner,
        transport: Transport,
        upstream_client: UpstreamClient,
        rng: random.Random,
    ) -> None:
        """Create a client and subscribe to the fleet channel."""
        self.hub = hub
        self.vm = vm
        self.transport = transport
        self.upstream_client = upstream_client
        self.rng = rng
        self.request_ids = itertools.count(rng.getrandbits(_ID_BITS))
        self.pending_replies: dict[int, asyncio.Future[AdapterLoadReply]] = {}
        self.list_lock = asyncio.Lock()
        self.list_read_at: float | None = None
        self.own_list_read_at = float('-inf')
        self.reported: tuple[object, ...] = ()
        self.reported_at = float('-inf')
        self.pending_permits: dict[int, asyncio.Future[PermitReply]] = {}
        self.pending_origins: dict[int, asyncio.Future[StreamOriginReply]] = {}
        self.slots = SlotPermits(
            hub.clock, self._send_to_controller, self.pending_permits
        )
        self.credit_handler: Callable[[CreditReply], None] | None = None
        transport.set_receiver(Channel.fleet, self.handle_message)

    async def run(self) -> None:
        """Send reports, and read the list when it is too old, until cancelled.

        Reports with news are sent at the longer interval unless requests are
        waiting, but no more than all entries together may send.
        """
        while True:
            self._send_report()
            evidence = self.hub.build_evidence()
            if evidence is not None:
                self._send_to_controller(evidence)
            usage = self.hub.usage_meter.build_message(
                self.vm.record.incarnation, self.hub.clock()
            )
            if usage is not None:
                self._send_to_controller(usage)
            if self._is_list_read_due():
                await self._read_list()
            reported_at = self.hub.clock()
            self.hub.request_waiting.clear()
            await wait_with_timeout(
                self.hub.request_waiting, _MAX_REPORT_INTERVAL_S
            )
            early_s = reported_at + self._report_interval_s() - self.hub.clock()
            if early_s > 0:
                await asyncio.sleep(early_s)

    async def request_adapter(
        self,
        service: str,
        upstream: str,
        model: str,
        adapter: str,
    ) -> bool:
        """Have the fleet controller load an adapter; tell whether it is loaded.

        Returns False if the load is refused or no reply arrives in time.
        """
        request = AdapterLoadRequest(
            request_id=next(self.request_ids),
            service=service,
            upstream=upstream,
            model=model,
            adapter=adapter,
        )
        future: asyncio.Future[AdapterLoadReply] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_replies[request.request_id] = future
        try:
            async with asyncio.timeout(_ADAPTER_TIMEOUT_S):
                reply = await self._resend_until_answered(request, future)
        except TimeoutError:
            log_event('adapter_unanswered', upstream=upstream, adapter=adapter)
            return False
        finally:
            self.pending_replies.pop(request.request_id)
        if not reply.is_ready:
            log_event(
                'adapter_refused',
                upstream=upstream,
                model=model,
                adapter=adapter,
                reason=reply.reason,
            )
        return reply.is_ready

    async def request_permit(self, limit: StatedLimit) -> float:
        """Request a permit to send one request to an upstream with a limit.

        Returns 0 if it is issued, or the seconds until one may be.
        """
        request = PermitRequest(request_id=next(self.request_ids), limit=limit)
        future: asyncio.Future[PermitReply] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_permits[request.request_id] = future
        self._send_to_controller(request)
        try:
            async with asyncio.timeout(_PERMIT_TIMEOUT_S):
                reply = await future
        except TimeoutError:
            log_event('permit_unanswered', upstream=limit.upstream)
            return _UNANSWERED_PERMIT_WAIT_S
        finally:
            self.pending_permits.pop(request.request_id)
        return reply.wait_s

    def send_credit_request(self, request: CreditRequest) -> None:
        """Send a request for credit of a workspace."""
        self._send_to_controller(request)

    async def find_stream_origin(
        self, service: str, begun_as: str
    ) -> StreamOrigin | None:
        """Return where a stream began; None if nobody knows.

        The fleet controller is asked unless this entry has begun the stream.
        Without its reply, only what this entry is sure of counts; if that is
        nothing, the reply may still come.
        """
        asked_at = self.hub.clock()
        origins = self.hub.streams.origins
        known = origins.streams.find_origin(begun_as, self.hub.clock())
        if known is not None:
            return known
        request = StreamOriginRequest(
            request_id=next(self.request_ids),
            service=service,
            begun_as=begun_as,
        )
        future: asyncio.Future[StreamOriginReply] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_origins[request.request_id] = future
        try:
            reply = await self._ask_origin(request, future, _ORIGIN_TIMEOUT_S)
            if reply is None:
                await self._read_list_since(asked_at)
                own = origins.find_own_origin(
                    begun_as, service, asked_at, self.hub.clock()
                )
                if own is not None:
                    return own
                reply = await self._ask_origin(request, future, _LATE_ORIGIN_S)
        finally:
            self.pending_origins.pop(request.request_id)
        if reply is None:
            return None
        is_trusted = reply.is_proven or self.hub.streams.may_trust_guess(
            service
        )
        if reply.origin is None or is_trusted:
            return reply.origin
        log_event('origin_unproven', begun_as=begun_as, service=service)
        return None

    def handle_message(self, peer: str, payload: bytes) -> None:
        """Apply an update, or pass a reply to the task that waits for it.

        Messages that cannot be decoded are logged and dropped.
        """
        try:
            message = _DECODER.decode(payload)
        except msgspec.DecodeError as error:
            log_event('bad_message', LogLevel.warning, error=str(error))
            return
        if isinstance(message, FleetUpdate):
            self.hub.apply_update(message)
        elif isinstance(message, QuarantineUpdate):
            self.hub.apply_quarantine(message)
        else:
            self._pass_reply(message)

    def _pass_reply(self, message: FleetMessage) -> None:
        if isinstance(message, AdapterLoadReply):
            _set_reply(self.pending_replies, message)
        elif isinstance(message, PermitReply):
            _set_reply(self.pending_permits, message)
        elif isinstance(message, StreamOriginReply):
            _set_reply(self.pending_origins, message)
        elif isinstance(message, CreditReply) and self.credit_handler:
            self.credit_handler(message)

    @property
    def _listed_at(self) -> float:
        return self.hub.dispatcher.listed_at

    async def _ask_origin(
        self,
        request: StreamOriginRequest,
        future: asyncio.Future[StreamOriginReply],
        timeout_s: float,
    ) -> StreamOriginReply | None:
        """Ask the fleet controller where a stream began; None if unanswered."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._resend_until_answered(request, future)
        except TimeoutError:
            log_event(
                'origin_unanswered',
                begun_as=request.begun_as,
                service=request.service,
            )
            return None

    async def _resend_until_answered(
        self,
        request: AdapterLoadRequest | StreamOriginRequest,
        future: asyncio.Future[_ReplyT],
    ) -> _ReplyT:
        """Send a request at intervals until its reply is set in the future."""
        while True:
            self._send_to_controller(request)
            done, _ = await asyncio.wait((future,), timeout=_RESEND_INTERVAL_S)
            if done:
                return future.result()

    def _report_interval_s(self) -> float:
        """Return the shortest interval between two reports of this entry."""
        entry_count = self.hub.dispatcher.entry_count
        return min(
            _LONGEST_REPORT_INTERVAL_S,
            max(_MIN_REPORT_INTERVAL_S, entry_count / _MAX_REPORTS_PER_S),
        )

    def _is_list_read_due(self) -> bool:
        """Tell whether this entry should read the list itself now.

        Entries whose list is too old read it at random times, as often as the
        rate of all of them together allows.
        """
        now = self.hub.clock()
        if now - self._listed_at <= _MAX_LIST_AGE_S:
            self.list_read_at = None
            return False
        interval_s = self._list_read_interval_s()
        if self.list_read_at is None:
            self.list_read_at = now + interval_s * self.rng.random()
        if now < self.list_read_at:
            return False
        self.list_read_at = now + interval_s
        return True

    async def _read_list_since(self, asked_at: float) -> None:
        """Have a list read after `asked_at`, unless one was read lately.

        A list of before may lack a build at which a stream has begun since.
        """
        async with self.list_lock:
            if self._listed_at >= asked_at:
                return
            now = self.hub.clock()
            if now >= self.own_list_read_at + self._list_read_interval_s():
                self.own_list_read_at = now
                await self._read_list()

    def _list_read_interval_s(self) -> float:
        """Return the interval of this entry's share of the rate of reads."""
        return max(
            _MIN_LIST_READ_INTERVAL_S,
            self.hub.dispatcher.entry_count / _LIST_READS_PER_S,
        )

    async def _read_list(self) -> None:
        """Read the list directly from the platform.

        A failed read is ignored, and repeated at the next time.
        """
        asked_at = self.hub.clock()
        listed = await self.upstream_client.read_list()
        if isinstance(listed, Failed):
            return
        upstreams = listed.unwrap()
        self.hub.dispatcher.apply_list(upstreams, self.hub.clock(), asked_at)
        self.hub.streams.record_builds(has_changed=True)
        log_event('list_read_by_entry', upstreams=len(upstreams))

    def _send_report(self) -> None:
        """Send a report if it has news, or if the last one is too long ago."""
        report = self.hub.build_report()
        now = self.hub.clock()
        leader = self.vm.agent.leader
        content = (leader, report.content)
        if content == self.reported and now < self.reported_at + _BEAT_S:
            return
        self.reported = content
        self.reported_at = now
        self._send_to_controller(report)

    def _send_to_controller(self, message: FleetMessage) -> None:
        """Send a message to the VM that leads control, if it is another VM."""
        leader = self.vm.agent.leader
        if leader and leader != self.vm.record.name:
            encoded = msgspec.msgpack.encode(message)
            self.transport.send(leader, Channel.fleet, encoded)


def _set_reply(
    waiting: dict[int, asyncio.Future[_ReplyT]], reply: _ReplyT
) -> None:
    """Pass a reply to the task that waits for it, if there is one."""
    future = waiting.get(reply.request_id)
    if future is not None and not future.done():
        future.set_result(reply)
