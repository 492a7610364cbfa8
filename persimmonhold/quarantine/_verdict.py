"""The decision that a request crashes the upstreams that run it."""

import enum
from collections import OrderedDict
from typing import Final, TypeAlias, final

from persimmonhold.quarantine._messages import QuarantinedPrompt
from persimmonhold.quarantine._process_fates import (
    ProcessFate,
    ProcessFates,
    ProcessKey,
)

PartSet: TypeAlias = tuple[str, ...]
MIN_CRASHES: Final = 3
# Of its full length, a quarantine without proof of its crashes has this part.
_UNPROVEN_SHARE: Final = 1 / 60
_MAX_PROCESSES: Final = 8  # of the evidence, kept for the next controller
_FIRST_TRIAL_S: Final = 30.0
_TRIAL_GROWTH: Final = 4.0
_MAX_TRIALS: Final = 2
# A granted trial that is not used goes to another entry after this time.
_GRANT_S: Final = 5.0
_MAX_REFUSING: Final = 32


@final
@enum.unique
class VerdictReview(enum.Enum):
    """What later evidence makes of a verdict."""

    keep = 'keep'
    prove = 'prove'
    revoke = 'revoke'


@final
class Verdict:
    """Requests with all of some parts are refused until `end`.

    `cuts` has the processes of the evidence, and when each cut a response. All
    of these processes have ended if it `is_proven`; else the verdict is
    short. `duration_s` is its full length. `version` is that of the update that
    began or prolonged it. `refusing` has the entries that refused such
    requests lately. One of them, `trial_entry`, may send one of them until
    `trial_until`, and the next one may not before `next_trial_at`.
    """

    __slots__ = (
        'begun_at',
        'cuts',
        'duration_s',
        'end',
        'is_proven',
        'next_trial_at',
        'parts',
        'refusing',
        'trial_count',
        'trial_entry',
        'trial_until',
        'version',
    )

    def __init__(
        self,
        parts: PartSet,
        cuts: tuple[tuple[ProcessKey, float], ...],
        duration_s: float,
        now: float,
        *,
        is_proven: bool,
    ) -> None:
        """Create a verdict that begins now."""
        self.parts = parts
        self.cuts = cuts[:_MAX_PROCESSES]
        self.duration_s = duration_s
        self.is_proven = is_proven
        self.begun_at = now
        self.end = now + duration_s
        if not is_proven:
            self.end = now + duration_s * _UNPROVEN_SHARE
        self.version = 0
        self.refusing: OrderedDict[str, float] = OrderedDict()
        self.trial_count = 0
        self.trial_entry = ''
        self.trial_until = now
        self.next_trial_at = now + _FIRST_TRIAL_S

    def build_prompt(self, now: float) -> QuarantinedPrompt:
        """Return what entries are told."""
        processes = tuple(process for process, _ in self.cuts)
        return QuarantinedPrompt(
            self.parts, self.end - now, processes, self.is_proven
        )

    def review(self, fates: ProcessFates) -> VerdictReview:
        """Compare the verdict with what is known of its processes now.

        Without proof, it also falls if more of them live than have ended: then
        connections have ended, not processes.
        """
        found = [fates.find(process, at) for process, at in self.cuts]
        needed = min(MIN_CRASHES, len(found))
        ended = found.count(ProcessFate.ended)
        survived = found.count(ProcessFate.survived)
        if len(found) - survived < needed:
            return VerdictReview.revoke
        if not self.is_proven and survived > ended:
            return VerdictReview.revoke
        if not self.is_proven and needed and ended >= needed:
            return VerdictReview.prove
        return VerdictReview.keep

    def prove(self) -> None:
        """Give the verdict its full length."""
        self.is_proven = True
        self.end = max(self.end, self.begun_at + self.duration_s)

    def record_refusal(self, entry: str, now: float) -> None:
        """Record that an entry refuses such requests."""
        self.refusing[entry] = now
        self.refusing.move_to_end(entry)
        if len(self.refusing) > _MAX_REFUSING:
            self.refusing.popitem(last=False)

    def record_trial(self, now: float) -> None:
        """Record that an entry has sent the request of its trial."""
        self.trial_entry = ''
        self.trial_until = now
        self.trial_count += 1
        growth = _TRIAL_GROWTH**self.trial_count
        self.next_trial_at = now + _FIRST_TRIAL_S * growth

    def grant_trial(self, now: float) -> bool:
        """Let the next entry try a request if one is due; tell whether it may.

        Entries that refuse such requests take turns.
        """
        is_due = now >= max(self.next_trial_at, self.trial_until)
        if not is_due or self.trial_count >= _MAX_TRIALS or not self.refusing:
            return False
        self.trial_entry = next(iter(self.refusing))
        self.refusing.pop(self.trial_entry)
        self.trial_until = now + _GRANT_S
        return True
