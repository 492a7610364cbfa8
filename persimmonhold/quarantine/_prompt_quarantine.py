"""Finds the requests that crash upstreams, on the VM that leads control.

Entries report each upstream that ended when it was about to answer a request,
with the fingerprints of the request and the parts of its prompt. One under which
several upstreams ended, and that no upstream has answered since, is quarantined:
every entry refuses the requests that have it. Below, a part is any of these.
Invariant: the state is bounded whatever entries report.
"""

import math
from collections.abc import Iterable
from typing import Final, TypeAlias, final

from persimmonhold.quarantine._messages import (
    ObservedCrash,
    PromptEvidence,
    QuarantinedPrompt,
    QuarantineUpdate,
)
from persimmonhold.quarantine._request_fingerprint import is_fingerprint
from persimmonhold.quarantine._suspect import WATCH_S, DatedCrash, Suspect
from persimmonhold.quarantine._suspected_part import SuspectedPart
from persimmonhold.quarantine._suspected_request import SuspectedRequest

PartSet: TypeAlias = tuple[str, ...]
ProcessKey: TypeAlias = tuple[str, int]
_MAX_SUSPECTS: Final = 1024
# Fewer are kept of too many, so that they are ranked less often.
_KEPT_SUSPECTS: Final = 768
_MAX_WATCHED: Final = 64
_MAX_QUARANTINES: Final = 256
_MAX_EXPLAINED: Final = 256
# Within this time, all entries have reported the end of an upstream.
_REPORT_S: Final = 0.25
# All that a piece of evidence leads to is decided within this time.
_DECISION_S: Final = WATCH_S + 0.5
_FIRST_QUARANTINE_S: Final = 600.0
# The quarantine of a prompt that crashes upstreams again is twice as long.
_MAX_QUARANTINE_S: Final = 86_400.0


@final
class PromptQuarantine:
    """The suspected parts, and the prompts that entries refuse.

    `ends` has the end of each quarantine and `durations` its length, also of
    one that has ended; `begun_versions` the version that began it. `watched` has the parts with the most crashes, up to
    `watched_until`. `confirmed` has the number of the last evidence of each
    entry, and `version` increases when an update changes.
    """

    __slots__ = (
        'answered_at',
        'begun_versions',
        'confirmed',
        'durations',
        'ends',
        'explained',
        'suspects',
        'undecided_until',
        'version',
        'watched',
        'watched_until',
    )

    def __init__(self) -> None:
        """Create a quarantine without any evidence."""
        self.suspects: dict[str, Suspect] = {}
        self.ends: dict[PartSet, float] = {}
        self.durations: dict[PartSet, float] = {}
        self.begun_versions: dict[PartSet, int] = {}
        self.confirmed: dict[str, int] = {}
        self.explained: dict[ProcessKey, PartSet] = {}
        self.answered_at = -math.inf
        self.undecided_until = -math.inf
        self.version = 0
        self.watched: tuple[str, ...] = ()
        self.watched_until = math.inf

    def record_evidence(
        self, entry: str, evidence: PromptEvidence, now: float
    ) -> None:
        """Record what an entry observed; evidence may be repeated."""
        for crash in evidence.crashes:
            self._record_crash(crash, now)
        self.undecided_until = now + _DECISION_S
        if evidence.answered_age_s is not None:
            began_at = now - evidence.answered_age_s
            self.answered_at = max(self.answered_at, began_at)
        for answered in evidence.answered:
            suspect = self.suspects.get(answered.part)
            if suspect is not None:
                suspect.record_answered(now - answered.age_s)
        for prompt in evidence.quarantined:
            self._merge_quarantine(prompt, now)
        self.confirmed[entry] = evidence.number
        self._drop_excess(now)
        self._refresh_watched(now)

    def decide(self, now: float) -> tuple[QuarantinedPrompt, ...]:
        """Quarantine what the evidence is sufficient for; return what is new."""
        if now > self.watched_until:
            self._refresh_watched(now)
        if now > self.undecided_until:
            return ()
        begun: list[QuarantinedPrompt] = []
        for part in self._rank_suspects():
            if part in self.watched:
                crashes = self._list_unexplained(part, now - _REPORT_S)
                parts = self._find_common_parts(crashes)
                if crashes and self._is_convicted(part, parts, crashes, now):
                    begun.append(self._begin_quarantine(parts, now))
                    self._explain_crashes(
                        self.suspects[part].valid_crashes, parts
                    )
        if begun:
            self._refresh_watched(now)
        return tuple(begun)

    def build_update(
        self, entry: str, term: int, now: float, base: int = 0
    ) -> QuarantineUpdate:
        """Return the update for an entry that has applied version `base`."""
        return QuarantineUpdate(
            term=term,
            version=self.version,
            confirmed=self.confirmed.get(entry, 0),
            watched=self.watched,
            quarantined=tuple(
                QuarantinedPrompt(parts, end - now)
                for parts, end in self.ends.items()
                if end > now and self.begun_versions[parts] > base
            ),
            base=base,
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
        if crash.process_key in self.explained:
            return
        at = now - crash.age_s
        for quarantined, end in self.ends.items():
            if end > now and set(quarantined).issubset(crash.parts):
                self._explain_crashes(((at, crash),), quarantined)
                return
        for part in crash.parts:
            suspect = self.suspects.get(part)
            if suspect is None:
                suspect = _create_suspect(part, now)
                self.suspects[part] = suspect
            suspect.add_crash(crash, at, now)

    def _explain_crashes(
        self, crashes: Iterable[DatedCrash], parts: PartSet
    ) -> None:
        """Void crashes under these parts as evidence against any other."""
        for _, crash in crashes:
            if set(parts).issubset(crash.parts):
                self.explained[crash.process_key] = parts
        while len(self.explained) > _MAX_EXPLAINED:
            self.explained.pop(next(iter(self.explained)))

    def _list_unexplained(self, part: str, until: float) -> list[DatedCrash]:
        """Return the crashes up to a time that count against a part.

        Those under a quarantined prompt count only against its own parts, and
        only beside one that has no such explanation yet.
        """
        crashes = [
            one
            for one in self.suspects[part].valid_crashes
            if one[0] <= until
            and part in self.explained.get(one[1].process_key, (part,))
        ]
        has_new = any(
            crash.process_key not in self.explained for _, crash in crashes
        )
        return crashes if has_new else []

    def _is_convicted(
        self, part: str, parts: PartSet, crashes: list[DatedCrash], now: float
    ) -> bool:
        """Tell whether prompts with these parts are to be quarantined now.

        A single crash is sufficient after the end of an earlier quarantine.
        """
        last_end = self._find_last_end(parts)
        if last_end is not None:
            return crashes[-1][0] > last_end
        suspect = self.suspects[part]
        return suspect.is_convicted(crashes, self.answered_at, now)

    def _find_common_parts(self, crashes: list[DatedCrash]) -> PartSet:
        """Return the suspected parts that all requests of the crashes share.

        If a sound part came with every one of these requests, requests that
        have it alone are not refused.
        """
        if not crashes:
            return ()
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
        self.begun_versions[parts] = self.version
        return QuarantinedPrompt(parts, duration_s)

    def _merge_quarantine(self, prompt: QuarantinedPrompt, now: float) -> None:
        """Keep what the last controller had quarantined.

        Without parts, it would refuse every request.
        """
        if not prompt.parts:
            return
        end = now + min(prompt.left_s, _MAX_QUARANTINE_S)
        if prompt.parts not in self.ends:
            self.version += 1
            self.begun_versions[prompt.parts] = self.version
        self.ends[prompt.parts] = max(end, self.ends.get(prompt.parts, end))
        self.durations.setdefault(prompt.parts, _FIRST_QUARANTINE_S)

    def _refresh_watched(self, now: float) -> None:
        """Watch the parts with the most crashes that are not quarantined."""
        watched = tuple(
            sorted(
                part
                for part in self._rank_suspects()[:_MAX_WATCHED]
                if self.suspects[part].watched_until > now
                and self.ends.get((part,), now) <= now
            )
        )
        self.watched_until = min(
            (self.suspects[part].watched_until for part in watched),
            default=math.inf,
        )
        if watched != self.watched:
            self.watched = watched
            self.version += 1

    def _rank_suspects(self) -> list[str]:
        """Return the suspected parts, the most suspected first.

        Of those with as many crashes, the requests decide.
        """
        ranks = {
            part: (
                -len(one.valid_crashes),
                one.request_rank,
                -one.last_crash_at,
                part,
            )
            for part, one in self.suspects.items()
        }
        return sorted(ranks, key=ranks.__getitem__)

    def _drop_excess(self, now: float) -> None:
        """Drop what is no longer suspected, and the oldest beyond the bounds."""
        for part, suspect in tuple(self.suspects.items()):
            if suspect.is_stale(now):
                self.suspects.pop(part)
        if len(self.suspects) > _MAX_SUSPECTS:
            for part in self._rank_suspects()[_KEPT_SUSPECTS:]:
                self.suspects.pop(part)
        first_to_end = sorted(self.ends, key=self.ends.__getitem__)
        for parts in first_to_end[: max(0, len(self.ends) - _MAX_QUARANTINES)]:
            self.ends.pop(parts)
            self.durations.pop(parts)
            self.begun_versions.pop(parts)


def _create_suspect(part: str, now: float) -> Suspect:
    if is_fingerprint(part):
        return SuspectedRequest(now)
    return SuspectedPart(now)
