"""Futures of proposals, reads and leadership transfers in progress."""

import asyncio
from typing import Final, TypeAlias, final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind

_Outcome: TypeAlias = Result[object, Failure]
ResultFuture: TypeAlias = 'asyncio.Future[_Outcome]'
_READ_STEP: Final = 'read barrier'
_PROPOSE_STEP: Final = 'propose'


@final
class Waiters:
    """Holds the futures of operations that wait for the replica.

    Proposals are held by log index with the term of their entry, reads by
    token.
    """

    __slots__ = ('_last_token', '_proposals', '_reads', '_transfers')

    def __init__(self) -> None:
        """Create a table without pending operations."""
        self._proposals: dict[int, tuple[int, ResultFuture]] = {}
        self._reads: dict[int, ResultFuture] = {}
        self._transfers: list[ResultFuture] = []
        self._last_token = 0

    def add_proposal(self, index: int, term: int, future: ResultFuture) -> None:
        """Register `future`, to be completed when `index` is applied.

        An earlier proposal that waits for the same index fails, because its
        entry was replaced.
        """
        earlier = self._proposals.get(index)
        if earlier is not None:
            set_failure(earlier[1], FailureKind.no_quorum, _PROPOSE_STEP)
        self._proposals[index] = (term, future)

    def add_read(self, future: ResultFuture) -> int:
        """Register `future` of a read; return the token of the read."""
        self._last_token += 1
        self._reads[self._last_token] = future
        return self._last_token

    def add_transfer(self, future: ResultFuture) -> None:
        """Register `future` of a transfer, completed when leadership ends."""
        self._transfers.append(future)

    def complete_transfers(self) -> None:
        """Complete all leadership transfers successfully."""
        for future in self._transfers:
            set_outcome(future, Success(None))
        self._transfers.clear()

    def complete_proposal(
        self, index: int, term: int, apply_result: object
    ) -> None:
        """Complete the proposal that waits for `index`, if there is one.

        It fails if the applied entry has another term than its own.
        """
        waiting = self._proposals.pop(index, None)
        if waiting is None:
            return
        if waiting[0] == term:
            set_outcome(waiting[1], Success(apply_result))
        else:
            # Another entry was committed at this index, so this proposal
            # will never be committed.
            set_failure(waiting[1], FailureKind.not_leader, _PROPOSE_STEP)

    def complete_reads(self, tokens: tuple[int, ...], index: int) -> None:
        """Complete confirmed reads with `index`, their read index."""
        for token in tokens:
            set_outcome(self._reads.pop(token), Success(index))

    def fail_reads(self, tokens: tuple[int, ...]) -> None:
        """Fail reads that were not confirmed before leadership was lost."""
        for token in tokens:
            set_failure(
                self._reads.pop(token), FailureKind.not_leader, _READ_STEP
            )

    def fail_replaced_proposals(self, index: int) -> None:
        """Fail the proposals up to `index`, whose entries a snapshot replaced.

        Whether they were committed is unknown.
        """
        for waiting in tuple(self._proposals):
            if waiting <= index:
                future = self._proposals.pop(waiting)[1]
                set_failure(future, FailureKind.no_quorum, _PROPOSE_STEP)

    def end_all(self) -> None:
        """Fail all pending proposals and reads; complete all transfers."""
        for _, future in self._proposals.values():
            set_failure(future, FailureKind.no_quorum, _PROPOSE_STEP)
        self._proposals.clear()
        self.complete_transfers()
        self.fail_reads(tuple(self._reads))


def set_outcome(future: ResultFuture, outcome: _Outcome) -> None:
    """Complete `future` with an outcome unless it is already done."""
    if not future.done():
        future.set_result(outcome)


def set_failure(future: ResultFuture, kind: FailureKind, step: str) -> None:
    """Complete `future` with a failure unless it is already done."""
    set_outcome(future, Failed(Failure(kind=kind, step=step)))
