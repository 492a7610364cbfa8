"""What operators see of quarantines, and how they end one."""

import hashlib
from typing import Final, final

import msgspec

from persimmonhold.fleet import FleetController
from persimmonhold.observability import log_event

_ID_LENGTH: Final = 12


@final
class ListedQuarantine(msgspec.Struct, frozen=True, kw_only=True):
    """A quarantine in force, as operators see it.

    Requests with all of `parts` are refused for `left_s` more seconds. `processes`
    are those that cut such requests; all of them have ended if it `is_proven`.
    `trials` counts the requests that were sent all the same.
    """

    id: str
    parts: tuple[str, ...]
    left_s: float
    is_proven: bool
    processes: tuple[str, ...]
    trials: int


def list_quarantines(
    controller: FleetController, now: float
) -> tuple[ListedQuarantine, ...]:
    """Return the quarantines in force, the last to end first."""
    verdicts = sorted(
        controller.quarantine.book.verdicts.values(),
        key=lambda verdict: -verdict.end,
    )
    return tuple(
        ListedQuarantine(
            id=find_quarantine_id(verdict.parts),
            parts=verdict.parts,
            left_s=round(verdict.end - now, 1),
            is_proven=verdict.is_proven,
            processes=tuple(process[0] for process, _ in verdict.cuts),
            trials=verdict.trial_count,
        )
        for verdict in verdicts
        if verdict.end > now
    )


def end_quarantine(
    controller: FleetController, quarantine_id: str, operator: str, now: float
) -> bool:
    """End a quarantine at all entries; return whether there is such a one.

    What spoke against its requests is forgotten; if they still crash upstreams,
    it takes as many crashes as the first time to quarantine them again.
    """
    for verdict in tuple(controller.quarantine.book.verdicts.values()):
        is_named = find_quarantine_id(verdict.parts) == quarantine_id
        if is_named and verdict.end > now:
            controller.quarantine.forget(verdict.parts)
            log_event(
                'quarantine_ended',
                quarantine=quarantine_id,
                prompt_parts=verdict.parts,
                left_s=round(verdict.end - now, 1),
                operator=operator,
            )
            return True
    return False


def find_quarantine_id(parts: tuple[str, ...]) -> str:
    """Return a short name of the parts of a quarantine, the same on all VMs."""
    digest = hashlib.sha256('\n'.join(parts).encode())
    return digest.hexdigest()[:_ID_LENGTH]
