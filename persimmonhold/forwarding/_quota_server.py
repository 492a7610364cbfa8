"""Grants the credit of workspaces to entries, on the VM that leads control."""

from collections.abc import Callable, Iterable
from typing import Final, final

import msgspec

from persimmonhold.control.shell import ControlNode
from persimmonhold.fleet import CreditRequest, FleetController
from persimmonhold.observability import log_event
from persimmonhold.quota import EntryPresence, QuotaBook
from persimmonhold.routes import RoutingDocument
from persimmonhold.transport import Channel, Transport

_SUMMARY_INTERVAL_S: Final = 10.0
_MAX_SUMMARIZED: Final = 32  # workspaces in one log line
_PRESENCE_INTERVAL_S: Final = 0.1
# Bits of a grant id below the term, so that no two terms share an id.
_GRANT_NUMBER_BITS: Final = 36
_TERM_MASK: Final = 0xFFFFFF


@final
class QuotaServer:
    """Answers credit requests while this VM leads, with one book a term.

    Grants do not wait for the order lease: the buckets of a new book are not
    full, and the leader was elected after the last one lost its quorum.
    """

    __slots__ = (
        'book',
        'clock',
        'document',
        'list_entries',
        'node',
        'presence',
        'presence_at',
        'summarized_at',
        'term',
        'transport',
    )

    def __init__(
        self,
        node: ControlNode,
        transport: Transport,
        clock: Callable[[], float],
        list_entries: Callable[[], Iterable[str]],
    ) -> None:
        """Create a server; `list_entries` names all VMs that serve callers."""
        self.node = node
        self.transport = transport
        self.clock = clock
        self.list_entries = list_entries
        self.presence = EntryPresence()
        self.presence_at = 0.0
        self.summarized_at = clock()
        self.document = RoutingDocument()
        self.term = -1
        self.book = QuotaBook(0)

    def record_heard(self, controller: FleetController, entry: str) -> None:
        """Record that a report of an entry has arrived."""
        now = self.clock()
        self._begin_term(controller)
        self._skip_pause(now)
        self.presence.record_heard(entry, now)

    def answer_request(
        self,
        controller: FleetController,
        entry: str,
        request: CreditRequest,
    ) -> None:
        """Answer a credit request, unless this VM no longer leads the term."""
        if not self.node.is_leader or self.node.term != controller.term:
            return
        if not controller.document.version:
            return
        now = self.clock()
        self._begin_term(controller)
        self._skip_pause(now)
        self._apply_document(controller.document, now)
        self.presence.record_asked(entry, now, is_alone=request.is_alone)
        self._update_refill_share(now)
        reply = self.book.answer_request(entry, request, now)
        self.transport.send(entry, Channel.fleet, msgspec.msgpack.encode(reply))
        if now >= self.summarized_at + _SUMMARY_INTERVAL_S:
            self.summarized_at = now
            self._log_summary()

    def _begin_term(self, controller: FleetController) -> None:
        """Begin a new book if the controller is that of another term."""
        if controller.term == self.term:
            return
        self.term = controller.term
        first_id = (self.term & _TERM_MASK) << _GRANT_NUMBER_BITS
        self.book = QuotaBook(first_id + 1)
        self.document = RoutingDocument()
        self.presence.forget(self.list_entries(), self.clock())
        self.presence_at = 0.0

    def _apply_document(self, document: RoutingDocument, now: float) -> None:
        """Use the limits of the document that the controller applies."""
        if document is self.document:
            return
        self.document = document
        workspaces = document.workspaces or ()
        self.book.apply_limits(
            {
                one.name: one.limit
                for one in workspaces
                if one.limit is not None and one.limit.per_s > 0
            },
            now,
        )

    def _skip_pause(self, now: float) -> None:
        paused_s = self.presence.measure_pause(now)
        if paused_s:
            self.book.skip_pause(paused_s, now)

    def _update_refill_share(self, now: float) -> None:
        """Leave the shares of entries that are cut off to them."""
        if now < self.presence_at + _PRESENCE_INTERVAL_S:
            return
        self.presence_at = now
        self.book.apply_refill_share(
            self.presence.compute_share(self.list_entries(), now), now
        )

    def _log_summary(self) -> None:
        """Log what was granted since the last summary, most refused first."""
        summaries = self.book.pop_summaries()
        log_event(
            'quota_grants',
            term=self.term,
            workspaces=summaries[:_MAX_SUMMARIZED],
            left_out=len(summaries[_MAX_SUMMARIZED:]),
            refill_share=round(self.book.refill_share, 2),
        )
