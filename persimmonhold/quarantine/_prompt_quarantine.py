"""Finds the requests that crash upstreams, on the VM that leads control.

Entries report each upstream that cut its response when it was about to answer a
request, with the fingerprints of the request and the parts of its prompt. One under
which several processes ended, and that no upstream has answered since, is quarantined:
every entry refuses the requests that have it. Below, a part is any of these.

A connection may end though its process lives, so a cut counts only if the process did
not live on. While that is not known, the verdict waits; if it cannot be found out in
time, the verdict is short. It is revoked once its processes, or an answer, contradict
it. Invariant: the state is bounded whatever entries report.
"""

import math
from collections.abc import Iterable, Set
from typing import Final, final

from persimmonhold.quarantine._messages import (
    ObservedCrash,
    PromptEvidence,
    QuarantinedPrompt,
    QuarantineUpdate,
)
from persimmonhold.quarantine._process_fates import (
    ProcessFate,
    ProcessFates,
    ProcessKey,
)
from persimmonhold.quarantine._request_fingerprint import is_fingerprint
from persimmonhold.quarantine._suspect import WATCH_S, DatedCrash, Suspect
from persimmonhold.quarantine._suspected_part import SuspectedPart
from persimmonhold.quarantine._suspected_request import SuspectedRequest
from persimmonhold.quarantine._verdict import MIN_CRASHES, PartSet, Verdict
from persimmonhold.quarantine._verdict_book import VerdictBook

_MAX_SUSPECTS: Final = 1024
# Fewer are kept of too many, so that they are ranked less often.
_KEPT_SUSPECTS: Final = 768
_MAX_WATCHED: Final = 64
_MAX_EXPLAINED: Final = 256
# Within this time, all entries have reported the end of an upstream.
_REPORT_S: Final = 0.25
# Without knowing whether the processes ended, requests are refused this long after
# the crash that would be sufficient; upstreams may have three seconds.
_VERIFICATION_S: Final = 2.0
# All that a piece of evidence leads to is decided within this time.
_DECISION_S: Final = _VERIFICATION_S + WATCH_S + 0.5


@final
class PromptQuarantine:
    """The suspected parts, and the prompts that entries refuse.

    `book` has the quarantines. `fates` tells which processes have ended.
    `watched` has the parts with the most crashes, up to `watched_until`.
    `confirmed` has the number of the last evidence of each entry. `has_news`
    tells that something was learned of a process since the last decision.
    """

    __slots__ = (
        'answered_at',
        'book',
        'confirmed',
        'explained',
        'fates',
        'has_news',
        'suspects',
        'undecided_until',
        'watched',
        'watched_until',
    )

    def __init__(self) -> None:
        """Create a quarantine without any evidence."""
        self.suspects: dict[str, Suspect] = {}
        self.book = VerdictBook()
        self.fates = ProcessFates()
        self.has_news = False
        self.confirmed: dict[str, int] = {}
        self.explained: dict[ProcessKey, PartSet] = {}
        self.answered_at = -math.inf
        self.undecided_until = -math.inf
        self.watched: tuple[str, ...] = ()
        self.watched_until = math.inf

    @property
    def version(self) -> int:
        """The version of the updates, which increases when they change."""
        return self.book.version

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
            self.book.merge(prompt, self.fates, now)
        for sign in evidence.signs:
            at = now - sign.age_s
            if sign.has_answered:
                self.fates.record_answered(sign.process_key, at)
            else:
                self.fates.record_unreachable(sign.process_key, at)
            self.has_news = True
        for news in evidence.news:
            if self.book.record_news(entry, news, now):
                self._clear(news.parts, now)
        self.confirmed[entry] = evidence.number
        self._drop_excess(now)
        self._refresh_watched(now)

    def record_process(self, process: ProcessKey, asked_at: float) -> None:
        """Record that a process answered a question asked at a time."""
        self.has_news = (
            self.fates.record_alive(process, asked_at) or self.has_news
        )

    def record_unreachable(self, process: ProcessKey, asked_at: float) -> None:
        """Record that a process did not answer a question asked at a time."""
        self.fates.record_unreachable(process, asked_at)
        self.has_news = True

    def record_list(
        self, processes: Iterable[ProcessKey], read_at: float
    ) -> None:
        """Record the processes that a list of all upstreams shows."""
        self.fates.record_list(dict(processes), read_at)
        self.has_news = True

    def decide(self, now: float) -> tuple[QuarantinedPrompt, ...]:
        """Quarantine what the evidence is sufficient for; return what is new."""
        if self.has_news:
            self._apply_news(now)
        if now > self.watched_until:
            self._refresh_watched(now)
        if now > self.undecided_until:
            return ()
        begun: list[QuarantinedPrompt] = []
        pending: set[ProcessKey] = set()
        for part in self._rank_suspects(now - _REPORT_S):
            if part not in self.watched:
                continue
            verdict = self._judge(part, now, pending)
            pending.update(self._list_pending(part, now))
            if verdict is not None:
                self.book.begin(verdict)
                begun.append(verdict.build_prompt(now))
                self._explain_crashes(
                    self.suspects[part].valid_crashes, verdict.parts
                )
        if begun:
            self._refresh_watched(now)
        return tuple(begun)

    def build_update(
        self, entry: str, term: int, now: float, base: int = 0
    ) -> QuarantineUpdate:
        """Return the update for an entry that has applied version `base`."""
        update = QuarantineUpdate(
            term=term,
            version=self.version,
            confirmed=self.confirmed.get(entry, 0),
            watched=self.watched,
            base=base,
        )
        return self.book.complete_update(update, entry, now)

    def forget(self, parts: PartSet) -> None:
        """Drop a quarantine and all that spoke against its parts."""
        self.book.revoke(parts)
        self._forget_explanations(parts)
        for part in parts:
            self.suspects.pop(part, None)

    def _apply_news(self, now: float) -> None:
        """Void cuts by processes that live, and review the quarantines."""
        self.has_news = False
        self.undecided_until = max(self.undecided_until, now)
        for suspect in self.suspects.values():
            suspect.drop_crashes({
                process
                for process, (at, _) in suspect.crashes.items()
                if self.fates.find(process, at) is ProcessFate.survived
            })
        for parts in self.book.review(self.fates):
            self._forget_explanations(parts)
        self._refresh_watched(now)

    def _clear(self, parts: PartSet, now: float) -> None:
        """Void what spoke against parts that an upstream has answered."""
        self._forget_explanations(parts)
        for part in parts:
            suspect = self.suspects.get(part)
            if suspect is not None:
                suspect.record_answered(now)

    def _forget_explanations(self, parts: PartSet) -> None:
        """Let crashes count that were explained by these parts."""
        self.explained = {
            process: explanation
            for process, explanation in self.explained.items()
            if explanation != parts
        }

    def _list_pending(self, part: str, now: float) -> set[ProcessKey]:
        """Return the processes that a part may soon be found to have crashed.

        They are no evidence against parts that are suspected less, until the
        watch of the part is over, or until it is answered again if it was
        answered before.
        """
        suspect = self.suspects[part]
        crashes = self._list_unexplained(part, now)
        is_watched = now - suspect.suspected_since < WATCH_S
        is_open = is_watched or math.isfinite(suspect.answered_at)
        if not is_open or len(crashes) < MIN_CRASHES:
            return set()
        return {crash.process_key for _, crash in crashes}

    def _judge(
        self, part: str, now: float, pending: Set[ProcessKey]
    ) -> Verdict | None:
        """Return a verdict if the evidence against a part is sufficient.

        Processes in `pending` may have ended under a part that is suspected
        more.
        """
        crashes = [
            one
            for one in self._list_unexplained(part, now - _REPORT_S)
            if one[1].process_key not in pending
        ]
        ended = [
            one
            for one in crashes
            if self.fates.find(one[1].process_key, one[0]) is ProcessFate.ended
        ]
        for evidence, is_proven in ((ended, True), (crashes, False)):
            parts = self._find_common_parts(evidence)
            if not evidence or not (
                self._is_convicted(part, parts, evidence, now)
            ):
                continue
            is_renewed = self.book.find_last_end(parts) is not None
            sufficient = evidence[: 1 if is_renewed else MIN_CRASHES]
            is_unverifiable = (
                now >= sufficient[-1][0] + _VERIFICATION_S
                and len(ended) >= self.suspects[part].survivor_count
            )
            if is_proven or is_unverifiable:
                return self._build_verdict(
                    parts, evidence, now, is_proven=is_proven
                )
        return None

    def _build_verdict(
        self,
        parts: PartSet,
        evidence: list[DatedCrash],
        now: float,
        *,
        is_proven: bool,
    ) -> Verdict:
        """Return a verdict; each further one of some parts is twice as long."""
        return Verdict(
            parts,
            tuple((crash.process_key, at) for at, crash in evidence),
            self.book.find_duration_s(parts),
            now,
            is_proven=is_proven,
        )

    def _record_crash(self, crash: ObservedCrash, now: float) -> None:
        if crash.process_key in self.explained:
            return
        at = now - crash.age_s
        self.fates.follow(crash.process_key)
        if not crash.was_silent:
            self.fates.record_cut(crash.process_key, at)
        quarantined = self.book.find_in_force(crash.parts, now)
        if quarantined:
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
            and not _has_lived_on(self.fates, *one)
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
        last_end = self.book.find_last_end(parts)
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

    def _refresh_watched(self, now: float) -> None:
        """Watch the parts with the most crashes that are not quarantined."""
        watched = tuple(
            sorted(
                part
                for part in self._rank_suspects()[:_MAX_WATCHED]
                if self.suspects[part].watched_until > now
                and not self.book.is_in_force((part,), now)
            )
        )
        self.watched_until = min(
            (self.suspects[part].watched_until for part in watched),
            default=math.inf,
        )
        if watched != self.watched:
            self.watched = watched
            self.book.version += 1

    def _rank_suspects(self, until: float = math.inf) -> list[str]:
        """Return the suspected parts, the most suspected by a time first.

        Of those with as many crashes, the requests decide.
        """
        ranks = {
            part: (
                -one.count_crashes(until),
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
        self.book.drop_excess()


def _has_lived_on(fates: ProcessFates, at: float, crash: ObservedCrash) -> bool:
    """Tell whether a process cut another response after it cut this one.

    Then the network ended the first connection.
    """
    return not crash.was_silent and fates.has_cut_since(
        crash.process_key, at + _REPORT_S
    )


def _create_suspect(part: str, now: float) -> Suspect:
    if is_fingerprint(part):
        return SuspectedRequest(now)
    return SuspectedPart(now)
