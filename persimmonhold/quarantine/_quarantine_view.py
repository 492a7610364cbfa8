"""What one entry knows and observes of requests that crash upstreams."""

import math
from collections import deque
from typing import Final, TypeAlias, final

import msgspec

from persimmonhold.quarantine._answered_requests import AnsweredRequests
from persimmonhold.quarantine._messages import (
    AnsweredPart,
    ObservedCrash,
    PromptEvidence,
    PromptNews,
    QuarantinedPrompt,
    QuarantineUpdate,
)
from persimmonhold.quarantine._process_signs import ProcessSigns
from persimmonhold.quarantine._prompt_log import PromptLog
from persimmonhold.quarantine._request_fingerprint import is_fingerprint
from persimmonhold.quarantine._silent_attempts import (
    SilentAttempt,
    SilentAttempts,
)
from persimmonhold.quarantine._suspect import SUSPICION_S

_ProcessKey: TypeAlias = tuple[str, int]
# An upstream that a request crashes ends when it begins to answer; one that
# has written for this long was not crashed by the request.
PROOF_S: Final = 0.25
# A trial that the controller granted is begun within this time.
TRIAL_S: Final = 5.0
# What an entry keeps for a new fleet controller.
_MAX_CRASHES: Final = 128
_MAX_PARTS: Final = 16  # of one prompt; usual prompts have three or four
_MAX_ANSWERED: Final = 64
_MAX_QUARANTINES: Final = 256
# While parts are suspected, the controller is told so often that prompts are
# answered.
_ANSWERED_INTERVAL_S: Final = 0.1


@final
class QuarantineView:
    """Refuses quarantined prompts, and collects evidence for the controller.

    `ends` has the end of each quarantine. It is never shortened unless the
    quarantine is revoked, so that neither a new controller nor a lost message
    ends one. `known` has each as the controller told it. `trials` has until when
    one request under a quarantine may be sent; that of a trial that was begun
    has passed. `prompts` has the news of such requests. `signs` has what was
    noticed lately of processes that had cut responses.
    `crashes` and `answered` hold the number of each observation and its time;
    `number` is the last one, and the controller has recorded them up to
    `confirmed`.
    `answered_at` is when the last prompt began to be answered, of those that
    are reported.
    """

    __slots__ = (
        'answered',
        'answered_at',
        'answered_requests',
        'confirmed',
        'crashes',
        'ends',
        'number',
        'known',
        'prompts',
        'signs',
        'silent',
        'term',
        'trials',
        'version',
        'watched',
    )

    def __init__(self) -> None:
        """Create the view of an entry that has just started."""
        self.term = 0
        self.version = 0
        self.number = 0
        self.confirmed = 0
        self.watched: frozenset[str] = frozenset()
        self.ends: dict[tuple[str, ...], float] = {}
        self.known: dict[tuple[str, ...], QuarantinedPrompt] = {}
        self.trials: dict[tuple[str, ...], float] = {}
        self.prompts = PromptLog()
        self.signs = ProcessSigns()
        self.crashes: deque[tuple[int, float, ObservedCrash]] = deque(
            maxlen=_MAX_CRASHES
        )
        self.answered: dict[str, tuple[int, float]] = {}
        self.answered_at: float | None = None
        self.answered_requests = AnsweredRequests()
        self.silent = SilentAttempts()

    def find_left_s(self, parts: tuple[str, ...], now: float) -> float:
        """Return for how many seconds a prompt is refused; 0 if it is not."""
        return max(
            (self.ends[one] - now for one in self._find_prompts(parts, now)),
            default=0,
        )

    def may_try(self, parts: tuple[str, ...], now: float) -> bool:
        """Tell whether a request under quarantine may be sent as a trial."""
        prompts = self._find_prompts(parts, now)
        return bool(prompts) and all(
            self.trials.get(one, now) > now for one in prompts
        )

    def begin_trial(self, parts: tuple[str, ...], now: float) -> None:
        """Record that the trial of a request begins; no other one may follow."""
        for prompt in self._find_prompts(parts, now):
            self.trials[prompt] = -math.inf
            self.number += 1
            self.prompts.add(self.number, PromptNews(prompt, is_tried=True))

    def record_refused(self, parts: tuple[str, ...], now: float) -> None:
        """Record that a request was refused, once in a while."""
        for prompt in self._find_prompts(parts, now):
            if self.prompts.is_refusal_due(prompt, now):
                self.number += 1
                self.prompts.add(
                    self.number, PromptNews(prompt, is_refused=True)
                )

    def record_response(
        self, process: _ProcessKey, sent_at: float, now: float
    ) -> None:
        """Record that an upstream answered a request that was sent then."""
        self.silent.record_response(process, sent_at)
        self._record_sign(process, sent_at, now, has_answered=True)

    def record_cut(
        self,
        process: tuple[str, int],
        request_id: str,
        parts: tuple[str, ...],
        streamed_s: float | None,
        now: float,
        *,
        was_silent: bool = False,
    ) -> None:
        """Record that an upstream cut the attempt at a request.

        Only a request that the upstream had hardly begun to answer may have
        crashed it.
        """
        if streamed_s is not None and streamed_s >= PROOF_S:
            self.record_answered(parts, now - streamed_s)
        elif parts:
            crash = ObservedCrash(
                *process, request_id, parts[:_MAX_PARTS], 0, was_silent
            )
            self.number += 1
            self.crashes.append((self.number, now, crash))
            self.signs.follow(process, now)

    def record_silence(
        self,
        process: tuple[str, int],
        request_id: str,
        parts: tuple[str, ...],
        now: float,
    ) -> None:
        """Record that an attempt ended without a response."""
        self.silent.add(SilentAttempt(process, request_id, parts, now))

    def record_process_end(self, process: tuple[str, int], now: float) -> None:
        """Record that a process is gone, and what it left unanswered."""
        for one in self.silent.take_ended(process, now):
            self.record_cut(
                process, one.request_id, one.parts, None, now, was_silent=True
            )
        self._record_sign(process, now, now, has_answered=False)

    def record_answered(self, parts: tuple[str, ...], began_at: float) -> None:
        """Record that an upstream began to answer a prompt, and went on."""
        self.answered_requests.record(parts, began_at)
        for prompt in self._find_prompts(parts, began_at):
            self.number += 1
            self.prompts.add(self.number, PromptNews(prompt, is_answered=True))
        if not self.watched:
            return
        last_at = self.answered_at
        if last_at is None or began_at - last_at >= _ANSWERED_INTERVAL_S:
            self.number += 1
            self.answered_at = began_at
        for part in self.watched.intersection(parts):
            self._report_answered(part, began_at)

    def begin_term(self, term: int) -> None:
        """Report all that is known to a new fleet controller."""
        if term <= self.term:
            return
        self.term = term
        self.version = 0
        self.confirmed = 0
        self.watched = frozenset()
        self.answered.clear()
        if self.crashes or self.ends:
            self.number += 1

    def apply_update(
        self, update: QuarantineUpdate, now: float
    ) -> tuple[QuarantinedPrompt, ...]:
        """Apply an update of the fleet controller; return what is new.

        It is ignored if earlier quarantines were not applied here.
        """
        if update.term < self.term:
            return ()
        self.begin_term(update.term)
        if update.base > self.version:
            return ()
        if update.confirmed <= self.number:
            # A higher number was confirmed to this entry before its restart.
            self.confirmed = max(self.confirmed, update.confirmed)
        cleared = self._apply_watched(update)
        self._drop_reported()
        self._drop_void_crashes(cleared, now)
        begun = [
            prompt
            for prompt in update.quarantined
            if self.ends.get(prompt.parts, now) <= now
        ]
        for prompt in update.quarantined:
            end = now + prompt.left_s
            self.ends[prompt.parts] = max(end, self.ends.get(prompt.parts, end))
            self.known[prompt.parts] = prompt
            for process in prompt.processes:
                self.signs.follow(process, now)
        for revoked in update.revoked:
            self.ends.pop(revoked, None)
        self.trials = {
            parts: self.trials.get(parts, now + TRIAL_S)
            for parts in update.trials
        }
        self._drop_ended(now)
        return tuple(begun)

    def build_evidence(self, now: float) -> PromptEvidence | None:
        """Return what the controller has not recorded yet, or None."""
        if self.number <= self.confirmed:
            return None
        is_new_term = not self.confirmed
        return PromptEvidence(
            number=self.number,
            crashes=tuple(
                msgspec.structs.replace(crash, age_s=now - at)
                for number, at, crash in self.crashes
                if number > self.confirmed
            ),
            answered=tuple(
                AnsweredPart(part, now - began_at)
                for part, (_, began_at) in self.answered.items()
            ),
            answered_age_s=(
                None if self.answered_at is None else now - self.answered_at
            ),
            quarantined=tuple(
                msgspec.structs.replace(self.known[parts], left_s=end - now)
                for parts, end in self.ends.items()
                if is_new_term and end > now
            ),
            signs=self.signs.list_since(self.confirmed, now),
            news=self.prompts.list_since(self.confirmed),
        )

    def _find_prompts(
        self, parts: tuple[str, ...], now: float
    ) -> list[tuple[str, ...]]:
        """Return the quarantines in force that hold for a request."""
        return [
            quarantined
            for quarantined, end in self.ends.items()
            if quarantined and end > now and set(quarantined).issubset(parts)
        ]

    def _record_sign(
        self,
        process: _ProcessKey,
        at: float,
        now: float,
        *,
        has_answered: bool,
    ) -> None:
        """Have the next evidence tell what a process did, if it matters."""
        if self.signs.is_due(process, at, now):
            self.number += 1
            self.signs.add(self.number, process, at, has_answered=has_answered)

    def _apply_watched(self, update: QuarantineUpdate) -> frozenset[str]:
        """Watch what an update names; return what is watched no longer.

        What was answered before it was watched is reported now.
        """
        if update.version < self.version:
            return frozenset()
        former = self.watched
        self.version = update.version
        self.watched = frozenset(update.watched)
        for part in self.watched - former:
            began_at = self.answered_requests.began_at.get(part)
            if began_at is not None:
                self._report_answered(part, began_at)
        return former - self.watched

    def _report_answered(self, part: str, began_at: float) -> None:
        """Have the next evidence tell when a watched part was answered."""
        _, known_at = self.answered.get(part, (0, began_at - 1))
        if began_at > known_at:
            self.number += 1
            self.answered[part] = (self.number, began_at)

    def _drop_reported(self) -> None:
        """Drop the answered parts that the controller knows of."""
        for part, (number, _) in tuple(self.answered.items()):
            if number <= self.confirmed or part not in self.watched:
                self.answered.pop(part)

    def _drop_void_crashes(self, cleared: frozenset[str], now: float) -> None:
        """Keep of confirmed crashes what may still be suspected.

        A new controller, which knows of no answers, is told only that.
        """
        kept = []
        for number, at, crash in self.crashes:
            if number <= self.confirmed:
                parts = tuple(
                    part
                    for part in crash.parts
                    if part in self.watched
                    or self._may_be_suspected(part, at, cleared, now)
                )
                crash = msgspec.structs.replace(crash, parts=parts)
            if crash.parts:
                kept.append((number, at, crash))
        self.crashes = deque(kept, maxlen=_MAX_CRASHES)

    def _may_be_suspected(
        self, part: str, at: float, cleared: frozenset[str], now: float
    ) -> bool:
        """Tell whether a request that is not watched yet may have crashed it."""
        return (
            is_fingerprint(part)
            and part not in cleared
            and now - at <= SUSPICION_S
            and not self.answered_requests.is_answered_since(part, at)
        )

    def _drop_ended(self, now: float) -> None:
        """Drop quarantines that ended, and the first to end beyond the bound."""
        ranked = sorted(self.ends, key=self.ends.__getitem__, reverse=True)
        for place, parts in enumerate(ranked):
            if place >= _MAX_QUARANTINES or self.ends[parts] <= now:
                self.ends.pop(parts)
        for kept in (self.known, self.trials):
            for parts in kept.keys() - self.ends.keys():
                kept.pop(parts)
