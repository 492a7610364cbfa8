"""Finds the requests that crash upstreams, on the VM that leads control.

Entries report each upstream that ended when it was about to answer a request,
with the parts of the prompt. A part under which several upstreams ended, and
that no upstream has answered since, is quarantined: every entry refuses the
requests that have it. Invariant: the state is bounded whatever entries report.
"""

import math
from typing import Final, TypeAlias, final

from persimmonhold.quarantine._messages import (
    ObservedCrash,
    PromptEvidence,
    QuarantinedPrompt,
    QuarantineUpdate,
)
from persimmonhold.quarantine._suspected_part import WATCH_S, SuspectedPart

PartSet: TypeAlias = tuple[str, ...]
_MAX_SUSPECTS: Final = 256
_MAX_WATCHED: Final = 64
_MAX_QUARANTINES: Final = 256
# All that a crash leads to is decided within this time.
_DECISION_S: Final = WATCH_S + 0.5
_FIRST_QUARANTINE_S: Final = 600.0
# The quarantine of a prompt that crashes upstreams again is twice as long.
_MAX_QUARANTINE_S: Final = 86_400.0


@final
class PromptQuarantine:
    """The suspected parts, and the prompts that entries refuse.

    `ends` has the end of each quarantine and `durations` its length, also of
    one that has ended. `watched` has the parts with the most crashes. `confirmed` has the number of the last evidence of each
    entry, and `version` increases when an update changes.
    """

    __slots__ = (
        'confirmed',
        'durations',
        'ends',
        'suspects',
        'undecided_until',
        'version',
        'watched',
    )

    def __init__(self) -> None:
        """Create a quarantine without any evidence."""
        self.suspects: dict[str, SuspectedPart] = {}
        self.ends: dict[PartSet, float] = {}
        self.durations: dict[PartSet, float] = {}
        self.confirmed: dict[str, int] = {}
        self.undecided_until = -math.inf
        self.version = 0
        self.watched: tuple[str, ...] = ()

    def record_evidence(
        self, entry: str, evidence: PromptEvidence, now: float
    ) -> None:
        """Record what an entry observed; evidence may be repeated."""
        for crash in evidence.crashes:
            self._record_crash(crash, now)
            self.undecided_until = now + _DECISION_S
        for answered in evidence.answered:
            suspect = self.suspects.get(answered.part)
            if suspect is not None:
                suspect.record_answered(now - answered.age_s)
        for prompt in evidence.quarantined:
            self._merge_quarantine(prompt, now)
        self.confirmed[entry] = evidence.number
        self._drop_excess(now)
        watched = self._list_watched()
        if watched != self.watched:
            self.watched = watched
            self.version += 1

    def decide(self, now: float) -> tuple[QuarantinedPrompt, ...]:
        """Quarantine what the evidence is sufficient for; return what is new."""
        if now > self.undecided_until:
            return ()
        begun: list[QuarantinedPrompt] = []
        for part in self.watched:
            suspect = self.suspects[part]
            parts = self._find_common_parts(part, suspect)
            if suspect.is_convicted(now, self._find_last_end(parts)):
                begun.append(self._begin_quarantine(parts, now))
        return tuple(begun)

    def build_update(
        self, entry: str, term: int, now: float
    ) -> QuarantineUpdate:
        """Return the update for an entry."""
        return QuarantineUpdate(
            term=term,
            version=self.version,
            confirmed=self.confirmed.get(entry, 0),
            watched=self.watched,
            quarantined=tuple(
                QuarantinedPrompt(parts, end - now)
                for parts, end in self.ends.items()
                if end > now
            ),
        )

    def _find_last_end(self, parts: PartSet) -> float | None:
        """Return when the last quarantine of such prompts ends, or None."""
        ends = [
            end
            for quarantined, end in self.ends.items()
            if set(quarantined).issubset(parts)
        ]
        return max(ends, default=None)

    def _record_crash(self, crash: ObservedCrash, now: float) -> None:
        for part in crash.parts:
            suspect = self.suspects.setdefault(part, SuspectedPart())
            suspect.add_crash(crash, now - crash.age_s)

    def _find_common_parts(self, part: str, suspect: SuspectedPart) -> PartSet:
        """Return the suspected parts that all requests of the crashes share.

        If a sound part came with every one of these requests, requests that
        have it alone are not refused.
        """
        crashes = suspect.valid_crashes
        if not crashes:
            return (part,)
        common = set(crashes[0][1].parts)
        for _, crash in crashes[1:]:
            common.intersection_update(crash.parts)
        began_at = crashes[0][0]
        return tuple(
            sorted(one for one in common if self._is_suspected(one, began_at))
        )

    def _is_suspected(self, part: str, since: float) -> bool:
        """Tell whether no upstream has answered a part since a time."""
        suspect = self.suspects.get(part)
        return suspect is not None and suspect.answered_at <= since

    def _begin_quarantine(
        self, parts: PartSet, now: float
    ) -> QuarantinedPrompt:
        duration_s = min(
            _MAX_QUARANTINE_S,
            2 * self.durations.get(parts, _FIRST_QUARANTINE_S / 2),
        )
        self.ends[parts] = now + duration_s
        self.durations[parts] = duration_s
        self.version += 1
        return QuarantinedPrompt(parts, duration_s)

    def _merge_quarantine(self, prompt: QuarantinedPrompt, now: float) -> None:
        """Keep what the last controller had quarantined."""
        end = now + min(prompt.left_s, _MAX_QUARANTINE_S)
        if prompt.parts not in self.ends:
            self.version += 1
        self.ends[prompt.parts] = max(end, self.ends.get(prompt.parts, end))
        self.durations.setdefault(prompt.parts, _FIRST_QUARANTINE_S)

    def _list_watched(self) -> tuple[str, ...]:
        """Return the parts to watch: those with the most crashes."""
        watched = [
            part
            for part in self._rank_suspects()[:_MAX_WATCHED]
            if self.suspects[part].valid_crashes
        ]
        return tuple(sorted(watched))

    def _rank_suspects(self) -> list[str]:
        """Return the suspected parts, those with the most crashes first."""
        ranks = {
            part: (len(one.valid_crashes), one.last_crash_at, part)
            for part, one in self.suspects.items()
        }
        return sorted(ranks, key=ranks.__getitem__, reverse=True)

    def _drop_excess(self, now: float) -> None:
        """Drop what is no longer suspected, and the oldest beyond the bounds."""
        for part, suspect in tuple(self.suspects.items()):
            if suspect.is_stale(now):
                self.suspects.pop(part)
        for part in self._rank_suspects()[_MAX_SUSPECTS:]:
            self.suspects.pop(part)
        first_to_end = sorted(self.ends, key=self.ends.__getitem__)
        for parts in first_to_end[: max(0, len(self.ends) - _MAX_QUARANTINES)]:
            self.ends.pop(parts)
            self.durations.pop(parts)
