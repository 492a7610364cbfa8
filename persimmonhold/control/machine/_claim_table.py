"""The table of claimed idempotency keys.

Invariants: a key is granted to one request at a time; an outcome is recorded
once and kept for the retention period from then on, so that a resend never
runs; a claim whose VM was removed or restarted is in doubt and stays until
its outcome becomes known; a full table refuses new claims instead of evicting
one within its retention period.
"""

from collections import deque
from typing import TypeAlias, final

import msgspec

from persimmonhold.control.machine._claim import Claim
from persimmonhold.control.machine._claim_key import ClaimKey
from persimmonhold.control.machine._command_status import CommandStatus
from persimmonhold.control.machine._end_claim import EndClaim
from persimmonhold.control.machine._state_machine_limits import (
    StateMachineLimits,
)
from persimmonhold.messages import CallOutcome

Scope: TypeAlias = tuple[str, str, str]


@final
class ClaimTable:
    """The claims on idempotency keys, by scope, by log index and by VM."""

    __slots__ = (
        '_scopes_by_index',
        '_limits',
        '_open_by_vm',
        '_settled_indexes',
        'claims_by_scope',
        'scopes_in_doubt',
        'outcome_body_bytes',
    )

    def __init__(self, limits: StateMachineLimits) -> None:
        """Create an empty table."""
        self.claims_by_scope: dict[Scope, Claim] = {}
        self.scopes_in_doubt: dict[int, Scope] = {}
        self.outcome_body_bytes = 0
        self._limits = limits
        self._scopes_by_index: dict[int, Scope] = {}
        self._settled_indexes: deque[int] = deque()
        self._open_by_vm: dict[str, set[int]] = {}

    def __len__(self) -> int:
        """Return the number of claims in the table."""
        return len(self.claims_by_scope)

    def restore_claims(self, claims: tuple[Claim, ...]) -> None:
        """Fill an empty table with the claims of a snapshot, oldest first."""
        for claim in claims:
            self._store(claim)
        settled = [old for old in claims if old.settled_ms]
        settled.sort(key=lambda old: (old.settled_ms, old.index))
        self._settled_indexes.extend(old.index for old in settled)

    def claim_key(
        self,
        index: int,
        command: ClaimKey,
    ) -> tuple[CommandStatus, Claim | None]:
        """Grant a key or refuse it; return the status and its claim, if any."""
        existing = self.claims_by_scope.get((
            command.caller,
            command.service,
            command.key,
        ))
        if existing is not None and not _is_reusable(existing, command):
            return _existing_claim_status(existing, command), existing
        if existing is None and len(self) >= self._limits.max_claims:
            return CommandStatus.claim_table_full, None
        if existing is not None:
            self._remove(existing)
        granted = _new_claim(index, command)
        self._store(granted)
        return CommandStatus.claim_granted, granted

    def end_claim(self, now_ms: int, command: EndClaim) -> CommandStatus:
        """Record the outcome of a claim, its release or that it is in doubt.

        A claim that has an outcome or was released stays as it is.
        """
        scope = self._scopes_by_index.get(command.claim)
        if scope is None:
            return CommandStatus.not_found
        claim = self.claims_by_scope[scope]
        if claim.request_id != command.request_id:
            return CommandStatus.claim_conflict
        if claim.outcome is None and not claim.released:
            self._apply_end(claim, now_ms, command)
        return CommandStatus.done

    def mark_in_doubt(self, vm: str, incarnation: str | None) -> None:
        """Mark open claims of a VM as in doubt, except those of `incarnation`.

        With None, all open claims of the VM are marked.
        """
        for index in sorted(self._open_by_vm.get(vm, ())):
            claim = self.claims_by_scope[self._scopes_by_index[index]]
            if claim.incarnation != incarnation:
                self._replace(
                    claim,
                    msgspec.structs.replace(claim, in_doubt=True),
                )

    def expire_claims(self, now_ms: int) -> None:
        """Remove claims that ended longer ago than the retention period."""
        cutoff_ms = now_ms - self._limits.claim_retention_ms
        while self._settled_indexes:
            scope = self._scopes_by_index.get(self._settled_indexes[0])
            if scope is not None:
                claim = self.claims_by_scope[scope]
                if claim.settled_ms >= cutoff_ms:
                    return
                self._remove(claim)
            self._settled_indexes.popleft()

    def _apply_end(self, claim: Claim, now_ms: int, command: EndClaim) -> None:
        outcome = self._drop_oversized_body(command.outcome)
        in_doubt = command.in_doubt and outcome is None
        self._replace(
            claim,
            msgspec.structs.replace(
                claim,
                outcome=outcome,
                in_doubt=in_doubt,
                released=outcome is None and not in_doubt,
                settled_ms=0 if in_doubt else max(now_ms, 1),
            ),
        )
        if not in_doubt:
            self._settled_indexes.append(claim.index)

    def _drop_oversized_body(
        self, outcome: CallOutcome | None
    ) -> CallOutcome | None:
        if outcome is None:
            return None
        body_bytes = len(outcome.body)
        free_bytes = (
            self._limits.max_stored_outcome_bytes - self.outcome_body_bytes
        )
        if body_bytes <= min(free_bytes, self._limits.max_outcome_bytes):
            return outcome
        return msgspec.structs.replace(outcome, body=b'', body_stored=False)

    def _replace(self, claim: Claim, changed: Claim) -> None:
        self._remove(claim)
        self._store(changed)

    def _store(self, claim: Claim) -> None:
        self.claims_by_scope[claim.scope] = claim
        self._scopes_by_index[claim.index] = claim.scope
        if claim.outcome is not None:
            self.outcome_body_bytes += len(claim.outcome.body)
        if claim.in_doubt:
            self.scopes_in_doubt[claim.index] = claim.scope
        if claim.is_open:
            self._open_by_vm.setdefault(claim.vm, set()).add(claim.index)

    def _remove(self, claim: Claim) -> None:
        self.claims_by_scope.pop(claim.scope)
        self._scopes_by_index.pop(claim.index)
        self.scopes_in_doubt.pop(claim.index, None)
        if claim.outcome is not None:
            self.outcome_body_bytes -= len(claim.outcome.body)
        open_indexes = self._open_by_vm.get(claim.vm, set())
        open_indexes.discard(claim.index)
        if not open_indexes:
            self._open_by_vm.pop(claim.vm, None)


def _is_reusable(existing: Claim, command: ClaimKey) -> bool:
    """Return whether another request released its claim on the key."""
    return existing.released and existing.request_id != command.request_id


def _existing_claim_status(existing: Claim, command: ClaimKey) -> CommandStatus:
    if existing.content_digest != command.content_digest:
        return CommandStatus.claim_conflict
    if existing.outcome is not None:
        return CommandStatus.claim_completed
    if existing.in_doubt:
        return CommandStatus.claim_in_doubt
    if existing.released or existing.request_id != command.request_id:
        return CommandStatus.claim_held
    return CommandStatus.claim_granted


def _new_claim(index: int, command: ClaimKey) -> Claim:
    return Claim(
        index=index,
        at_ms=command.at_ms,
        caller=command.caller,
        service=command.service,
        key=command.key,
        content_digest=command.content_digest,
        request_id=command.request_id,
        vm=command.vm,
        incarnation=command.incarnation,
    )
