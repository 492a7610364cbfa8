"""Relays the requests of an entry that reaches no upstream to other entries."""

from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.fleet import RetryBudget
from persimmonhold.forwarding._forward_services import ForwardServices
from persimmonhold.forwarding._relay_result import RelayEnd, RelayResult
from persimmonhold.forwarding._relayed_attempt import RelayedAttempt
from persimmonhold.forwarding._request_state import RequestState
from persimmonhold.messages import VmRecord
from persimmonhold.observability import log_event, metric
from persimmonhold.reach import OUT_OF_REACH
from persimmonhold.web import Address, parse_address

_MAX_ENTRIES: Final = 4  # that one request is relayed to
# An entry that sends no response for so long, until the request ends, may hang.
_RESPONSE_TIMEOUT_S: Final = 0.5


@final
class RequestRelay:
    """Relays one request, to one entry after another until one takes it.

    Only a request that may run again goes on after it may have run, and only
    within the retry budget. `tried` are the entries that it went to.
    """

    __slots__ = ('services', 'state', 'tried')

    def __init__(self, services: ForwardServices, state: RequestState) -> None:
        """Create the relay of a request."""
        self.services = services
        self.state = state
        self.tried: set[str] = set()

    async def run(self) -> RelayResult:
        """Relay the request; `unable` if no entry could take it.

        If it may have run here, a retry is spent, unless it runs nowhere else.
        """
        is_repeat = self.state.may_have_run
        if is_repeat and not self._try_spend_retry():
            return RelayResult(end=RelayEnd.unable, detail='no retry left')
        result = await self._run_at_entries()
        if is_repeat and result.end in {RelayEnd.unable, RelayEnd.refused}:
            self._find_budget().return_retry()
        return result

    async def _run_at_entries(self) -> RelayResult:
        """Relay the request until an entry takes it."""
        result = RelayResult(end=RelayEnd.unable, detail='no entry')
        while len(self.tried) < _MAX_ENTRIES:
            entry = self._choose_entry()
            if entry is None:
                break
            self.tried.add(entry.name)
            result = await self._relay(entry)
            if not self._may_go_on(entry, result):
                return result
        return result

    def _choose_entry(self) -> VmRecord | None:
        link = self.services.link
        return self.services.relay_peers.choose(
            link.view.vms,
            link.live_vms,
            self.tried,
            self.services.hub.clock(),
        )

    async def _relay(self, entry: VmRecord) -> RelayResult:
        """Relay the request to an entry; log and count how it ended."""
        address = parse_address(entry.callers)
        if isinstance(address, Failed):
            return RelayResult(end=RelayEnd.unable, detail='invalid address')
        began_at = self.services.hub.clock()
        # Until it ends otherwise, as the caller may leave meanwhile.
        may_have_run = self.state.may_have_run
        self.state.may_have_run = True
        result = await self._run_attempt(entry.name, address.unwrap())
        if result.end in {RelayEnd.refused, RelayEnd.unable}:
            self.state.may_have_run = may_have_run
        else:
            self.state.run_count += 1
        self.services.metrics.increment(metric.RELAYS, end=result.end.value)
        log_event(
            'relay',
            request_id=self.state.request.dispatch_request.profile.request_id,
            entry=entry.name,
            end=result.end.value,
            detail=result.detail,
            took_s=round(self.services.hub.clock() - began_at, 3),
        )
        return result

    async def _run_attempt(self, entry: str, address: Address) -> RelayResult:
        """Relay the request; record whether the entry responds at all."""
        peers = self.services.relay_peers
        began_at = self.services.hub.clock()
        attempt = RelayedAttempt(
            self.services,
            self.state.request,
            self.state.response_writer,
            self.state.run_count,
        )
        peers.record_sent(entry)
        is_broken = False
        try:
            result = await attempt.run(address)
            is_broken = result.end is RelayEnd.failed
        finally:
            peers.record_ended(entry)
            if not attempt.head.status:
                self._record_unanswered(entry, began_at, is_broken=is_broken)
        return result

    def _record_unanswered(
        self, entry: str, began_at: float, *, is_broken: bool
    ) -> None:
        """Record that an entry has sent no response, if it had time for it."""
        now = self.services.hub.clock()
        if is_broken or now - began_at >= _RESPONSE_TIMEOUT_S:
            self.services.relay_peers.record_unanswered(entry, now)

    def _may_go_on(self, entry: VmRecord, result: RelayResult) -> bool:
        """Tell whether another entry is to be tried."""
        if result.end is RelayEnd.unable:
            self.services.relay_peers.record_unable(
                entry,
                self.services.hub.clock(),
                is_cut=result.reason == OUT_OF_REACH,
            )
            return True
        if result.end is not RelayEnd.failed:
            return False
        if self.state.response_writer.has_begun:
            return False
        return self._try_spend_retry()

    def _try_spend_retry(self) -> bool:
        """Spend a retry if the request may run again; tell whether."""
        if not self.state.can_run_again:
            return False
        dispatcher = self.services.hub.dispatcher
        return self._find_budget().try_spend_retry(
            dispatcher.entry_count, self.services.hub.clock()
        )

    def _find_budget(self) -> RetryBudget:
        service = self.state.request.dispatch_request.service
        return self.services.hub.dispatcher.retry_budget(service)
