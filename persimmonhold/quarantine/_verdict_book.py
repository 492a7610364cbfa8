"""All verdicts of the fleet controller, and what entries are told of them."""

from collections.abc import Iterable
from typing import Final, final

from persimmonhold.quarantine._messages import (
    PromptNews,
    QuarantinedPrompt,
    QuarantineUpdate,
)
from persimmonhold.quarantine._process_fates import ProcessFates
from persimmonhold.quarantine._verdict import PartSet, Verdict, VerdictReview

_MAX_QUARANTINES: Final = 256
_MAX_REVOKED: Final = 256
_FIRST_QUARANTINE_S: Final = 600.0
# The quarantine of a prompt that crashes upstreams again is twice as long.
_MAX_QUARANTINE_S: Final = 86_400.0


@final
class VerdictBook:
    """The quarantines, also those that have ended, up to a bound.

    `revoked` has the versions at which quarantines were taken back. `version`
    increases when an update to entries changes.
    """

    __slots__ = ('revoked', 'verdicts', 'version')

    def __init__(self) -> None:
        """Create without verdicts."""
        self.verdicts: dict[PartSet, Verdict] = {}
        self.revoked: dict[PartSet, int] = {}
        self.version = 0

    def find_duration_s(self, parts: PartSet) -> float:
        """Return the length of the next quarantine of such prompts."""
        verdict = self.verdicts.get(parts)
        if verdict is None:
            return _FIRST_QUARANTINE_S
        return min(2 * verdict.duration_s, _MAX_QUARANTINE_S)

    def find_last_end(self, parts: PartSet) -> float | None:
        """Return when the last quarantine of such prompts ends, or None."""
        ends = [one.end for one in self._list_applicable(parts)]
        return max(ends, default=None)

    def find_in_force(self, parts: PartSet, now: float) -> PartSet:
        """Return the parts of a quarantine that holds for a request, or ()."""
        for verdict in self._list_applicable(parts):
            if verdict.end > now:
                return verdict.parts
        return ()

    def is_in_force(self, parts: PartSet, now: float) -> bool:
        """Tell whether exactly these parts are quarantined."""
        verdict = self.verdicts.get(parts)
        return verdict is not None and verdict.end > now

    def begin(self, verdict: Verdict) -> None:
        """Begin a quarantine, and have all entries told of it."""
        self.verdicts[verdict.parts] = verdict
        self._announce(verdict)

    def revoke(self, parts: PartSet) -> None:
        """End a quarantine, as later evidence contradicts it."""
        self.verdicts.pop(parts)
        self.version += 1
        self.revoked[parts] = self.version
        while len(self.revoked) > _MAX_REVOKED:
            self.revoked.pop(next(iter(self.revoked)))

    def review(self, fates: ProcessFates) -> tuple[PartSet, ...]:
        """Compare all verdicts with the fates of their processes.

        Returns those that were revoked.
        """
        revoked: list[PartSet] = []
        for verdict in tuple(self.verdicts.values()):
            review = verdict.review(fates)
            if review is VerdictReview.revoke:
                self.revoke(verdict.parts)
                revoked.append(verdict.parts)
            elif review is VerdictReview.prove:
                verdict.prove()
                self._announce(verdict)
        return tuple(revoked)

    def merge(
        self, prompt: QuarantinedPrompt, fates: ProcessFates, now: float
    ) -> None:
        """Keep what the last controller had quarantined.

        Without parts, it would refuse every request. Its processes may turn out
        to live.
        """
        if not prompt.parts:
            return
        verdict = self.verdicts.get(prompt.parts)
        if verdict is None:
            cuts = tuple((process, now) for process in prompt.processes)
            for process, _ in cuts:
                fates.follow(process)
            verdict = Verdict(
                prompt.parts,
                cuts,
                _FIRST_QUARANTINE_S,
                now,
                is_proven=prompt.is_proven,
            )
            verdict.end = now
            self.begin(verdict)
        end = now + min(prompt.left_s, _MAX_QUARANTINE_S)
        verdict.end = max(end, verdict.end)

    def record_news(self, entry: str, news: PromptNews, now: float) -> bool:
        """Record what became of requests under a quarantine at an entry.

        Tells whether that ended the quarantine.
        """
        verdict = self.verdicts.get(news.parts)
        if verdict is None:
            return False
        if news.is_answered:
            self.revoke(news.parts)
        elif news.is_tried:
            verdict.record_trial(now)
            self.version += 1
        elif news.is_refused:
            verdict.record_refusal(entry, now)
        return news.is_answered

    def grant_trials(self, now: float) -> None:
        """Let one entry try a request of each quarantine for which it is time."""
        for verdict in self.verdicts.values():
            if verdict.end > now and verdict.grant_trial(now):
                self.version += 1

    def complete_update(
        self, update: QuarantineUpdate, entry: str, now: float
    ) -> QuarantineUpdate:
        """Return an update with the verdicts that an entry lacks."""
        return QuarantineUpdate(
            term=update.term,
            version=self.version,
            confirmed=update.confirmed,
            watched=update.watched,
            quarantined=tuple(
                one.build_prompt(now)
                for one in self.verdicts.values()
                if one.end > now and one.version > update.base
            ),
            base=update.base,
            revoked=tuple(
                parts
                for parts, version in self.revoked.items()
                if version > update.base
            ),
            trials=tuple(
                one.parts
                for one in self.verdicts.values()
                if one.trial_entry == entry and one.trial_until > now
            ),
        )

    def drop_excess(self) -> None:
        """Drop the first to end beyond the bound."""
        first_to_end = sorted(self.verdicts.values(), key=_find_end)
        excess = max(0, len(first_to_end) - _MAX_QUARANTINES)
        for verdict in first_to_end[:excess]:
            self.verdicts.pop(verdict.parts)

    def _list_applicable(self, parts: PartSet) -> Iterable[Verdict]:
        """Return the verdicts of all whose parts a request has."""
        return (
            one
            for one in self.verdicts.values()
            if set(one.parts).issubset(parts)
        )

    def _announce(self, verdict: Verdict) -> None:
        """Have all entries be told of a verdict."""
        self.version += 1
        verdict.version = self.version
        self.revoked.pop(verdict.parts, None)


def _find_end(verdict: Verdict) -> float:
    return verdict.end
