"""Tells entries which prompts crash upstreams, on the VM that leads control."""

from collections.abc import Callable, Iterable
from typing import Final, final

import msgspec

from persimmonhold.fleet import EntryReport, FleetController
from persimmonhold.observability import log_event
from persimmonhold.quarantine import PromptEvidence, spread_release
from persimmonhold.transport import Channel, Transport

# Bounds the updates to all entries; each end of an upstream changes them.
_MIN_ROUND_INTERVAL_S: Final = 0.1


@final
class QuarantineServer:
    """Records the evidence of entries, and sends them updates.

    An entry whose report names an older version gets the update again.
    `applied` has the term and version in the last report of each entry.
    """

    __slots__ = (
        'applied',
        'clock',
        'last_round_at',
        'sent_version',
        'transport',
    )

    def __init__(
        self, transport: Transport, clock: Callable[[], float]
    ) -> None:
        """Create a server on a VM with control."""
        self.transport = transport
        self.clock = clock
        self.sent_version = (0, 0)
        self.applied: dict[str, tuple[int, int]] = {}
        self.last_round_at = 0.0

    def record_evidence(
        self, controller: FleetController, entry: str, evidence: PromptEvidence
    ) -> None:
        """Record what an entry observed, and confirm it."""
        controller.quarantine.record_evidence(entry, evidence, self.clock())
        self._send_update(controller, entry)

    def check_report(
        self, controller: FleetController, entry: str, report: EntryReport
    ) -> None:
        """Send an entry the update that its report shows it lacks."""
        self.applied[entry] = report.term, report.quarantine_version
        version = controller.quarantine.version
        if version and (report.term, report.quarantine_version) != (
            controller.term,
            version,
        ):
            self._send_update(controller, entry)

    def decide_and_send(
        self,
        controller: FleetController,
        list_entries: Callable[[], Iterable[str]],
    ) -> None:
        """Quarantine prompts if the evidence is sufficient; update entries."""
        quarantine = controller.quarantine
        now = self.clock()
        for prompt in quarantine.decide(now):
            log_event(
                'prompt_quarantined',
                prompt_parts=prompt.parts,
                left_s=round(prompt.left_s, 1),
                processes=prompt.processes,
                is_proven=prompt.is_proven,
                version=quarantine.version,
            )
        quarantine.book.grant_trials(now)
        version = (controller.term, quarantine.version)
        is_due = now >= self.last_round_at + _MIN_ROUND_INTERVAL_S
        if quarantine.version and version != self.sent_version and is_due:
            self.sent_version = version
            self.last_round_at = now
            for entry in list_entries():
                self._send_update(controller, entry)

    def _send_update(self, controller: FleetController, entry: str) -> None:
        term, base = self.applied.get(entry, (0, 0))
        update = controller.quarantine.build_update(
            entry,
            controller.term,
            self.clock(),
            base if term == controller.term else 0,
        )
        encoded = msgspec.msgpack.encode(spread_release(update, entry))
        self.transport.send(entry, Channel.fleet, encoded)
