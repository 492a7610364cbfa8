"""Callers that wait for an index, a read or the end of leading."""

import asyncio
from typing import Final, TypeAlias, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind

_Answer: TypeAlias = Result[object, Failure]
AnswerFuture: TypeAlias = 'asyncio.Future[_Answer]'
_READ_STEP: Final = 'read barrier'
_PROPOSE_STEP: Final = 'propose'


@final
class Waiters:
    """Futures of proposals by index and of reads by token."""

    __slots__ = ('_handovers', '_proposals', '_reads', '_serial')

    def __init__(self) -> None:
        """Create an empty table."""
        self._proposals: dict[int, tuple[int, AnswerFuture]] = {}
        self._reads: dict[int, AnswerFuture] = {}
        self._handovers: list[AnswerFuture] = []
        self._serial = 0

    def await_entry(self, index: int, term: int, answer: AnswerFuture) -> None:
        """Answer when the entry of a term at an index is applied."""
        earlier = self._proposals.get(index)
        if earlier is not None:
            fail(earlier[1], FailureKind.no_quorum, _PROPOSE_STEP)
        self._proposals[index] = (term, answer)

    def await_read(self, answer: AnswerFuture) -> int:
        """Answer when a read is confirmed; return its token."""
        self._serial += 1
        self._reads[self._serial] = answer
        return self._serial

    def await_handover(self, answer: AnswerFuture) -> None:
        """Answer when this replica no longer leads."""
        self._handovers.append(answer)

    def end_handovers(self) -> None:
        """Answer everyone who waits for the end of leading."""
        for answer in self._handovers:
            settle(answer, Success(None))
        self._handovers.clear()

    def note_applied(self, index: int, term: int, returned: object) -> None:
        """Answer the proposal at an index, if one waits."""
        waiting = self._proposals.pop(index, None)
        if waiting is None:
            return
        if waiting[0] == term:
            settle(waiting[1], Success(returned))
        else:
            # Another entry was committed here, so this one never will be.
            fail(waiting[1], FailureKind.not_leader, _PROPOSE_STEP)

    def end_reads(self, tokens: tuple[int, ...], index: int) -> None:
        """Answer confirmed reads."""
        for token in tokens:
            settle(self._reads.pop(token), Success(index))

    def fail_reads(self, tokens: tuple[int, ...]) -> None:
        """Answer reads whose leader lost its term."""
        for token in tokens:
            fail(self._reads.pop(token), FailureKind.not_leader, _READ_STEP)

    def fail_proposals_to(self, index: int) -> None:
        """Answer proposals whose entries a snapshot replaced."""
        for waiting in tuple(self._proposals):
            if waiting <= index:
                answer = self._proposals.pop(waiting)[1]
                fail(answer, FailureKind.no_quorum, _PROPOSE_STEP)

    def fail_all(self) -> None:
        """Answer everyone: this replica stops."""
        for _, answer in self._proposals.values():
            fail(answer, FailureKind.no_quorum, _PROPOSE_STEP)
        self._proposals.clear()
        self.end_handovers()
        self.fail_reads(tuple(self._reads))


def settle(answer: AnswerFuture, outcome: _Answer) -> None:
    """Set an outcome unless the caller has gone."""
    if not answer.done():
        answer.set_result(outcome)


def fail(answer: AnswerFuture, kind: FailureKind, step: str) -> None:
    """Set a failure unless the caller has gone."""
    settle(answer, Failed(Failure(kind=kind, step=step)))
