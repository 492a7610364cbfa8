"""The credit of one entry: what it holds, and how it decides without more.

Times are those of a clock that goes on while the VM is suspended. Credit counts
from when it was requested, so it expires here before it does at the fleet
controller.
"""

import math
import random
from collections.abc import Container
from typing import Final, final

from persimmonhold.fleet import CreditReply, CreditRequest
from persimmonhold.quota._credit_need import CreditNeed
from persimmonhold.quota._credit_spending import CreditPart, CreditSpending
from persimmonhold.quota._held_credit import HeldCredit, split_part
from persimmonhold.quota._lone_share import LoneShare
from persimmonhold.quota._pending_credit import PendingCredit
from persimmonhold.quota._returned_credit import ReturnedCredit

# While the controller is unreachable, it is asked for a reply this often.
_PROBE_INTERVAL_S: Final = 0.25
# Credit of a reply that takes longer has expired.
_PENDING_S: Final = 2.0
# A reply of the controller tells nothing of the demand after this time.
_SHARE_LIFE_S: Final = 30.0
# The demand of an overloaded workspace may rise after the last reply.
_LONE_CAUTION: Final = 0.9


@final
class QuotaAccount:
    """The credit of an entry, by workspace.

    `alone_since` is when the controller became unreachable, or None.
    `pending` has the requests sent lately by id, in the order of time.
    `admit_shares` are the shares of the demand that the controller granted, by
    the last reply of `answered_at`; 1 for all other workspaces.
    """

    __slots__ = (
        'admit_shares',
        'alone_since',
        'answered_at',
        'held',
        'lone_shares',
        'next_probe_at',
        'next_request_id',
        'pending',
        'returned',
        'rng',
    )

    def __init__(self, rng: random.Random, first_request_id: int) -> None:
        """Create an account without credit.

        A restarted entry must not use the ids of the process before it.
        """
        self.rng = rng
        self.next_request_id = first_request_id
        self.held: dict[str, HeldCredit] = {}
        self.lone_shares: dict[str, LoneShare] = {}
        self.pending: dict[int, PendingCredit] = {}
        self.returned = ReturnedCredit()
        self.alone_since: float | None = None
        self.next_probe_at = 0.0
        self.admit_shares: dict[str, float] = {}
        self.answered_at = -math.inf

    def try_spend(
        self, workspace: str, cost: float, now: float
    ) -> CreditSpending | None:
        """Spend credit that is held; return None if it is not enough."""
        held = self._find_held(workspace, now)
        parts = held.take(cost)
        if not parts:
            return None
        held.record_spent(cost, now)
        return CreditSpending(workspace=workspace, cost=cost, parts=parts)

    def build_probe(self, workspace: str, now: float) -> CreditRequest | None:
        """Return a message that only asks for a reply, if one is due.

        It asks for no credit: a grant that does not arrive would be missing at
        the entries that the controller reaches.
        """
        if now < self.next_probe_at:
            return None
        self.next_probe_at = now + _PROBE_INTERVAL_S
        return self.build_request(workspace, 0, now)

    def build_request(
        self,
        workspace: str,
        cost: float,
        now: float,
        *,
        has_asked: bool = False,
    ) -> CreditRequest:
        """Return the message that asks for the credit of one request.

        `has_asked` tells that the request was refused before.
        """
        self._drop_old_requests(now)
        held = self._find_held(workspace, now)
        for name in tuple(self.held):
            self._find_held(name, now)
        message = CreditRequest(
            request_id=self.next_request_id,
            workspace=workspace,
            tokens=cost,
            prefetch=held.find_prefetch(now) if cost else 0,
            returned=self.returned.list_unconfirmed(now),
            has_asked=has_asked,
            is_alone=self.alone_since is not None,
        )
        self.next_request_id += 1
        held.awaited += message.prefetch
        self.pending[message.request_id] = PendingCredit(
            message=message, sent_at=now
        )
        return message

    def apply_reply(
        self, reply: CreditReply, now: float
    ) -> CreditSpending | None:
        """Take in a reply; return what the request that asked has spent.

        Returns None if it got no credit or waits no longer. Credit beyond what
        it needs is held.
        """
        self.alone_since = None
        pending = self.pending.pop(reply.request_id, None)
        if pending is None:
            return None
        message = pending.message
        self.returned.confirm(message.returned)
        held = self._find_held(message.workspace, now)
        held.awaited -= message.prefetch
        self.admit_shares = dict(reply.short_shares)
        self.admit_shares[message.workspace] = reply.admit_share
        self.answered_at = now
        if not reply.tokens:
            return None
        part = CreditPart(
            reply.grant_id, reply.tokens, pending.sent_at + reply.term_s
        )
        needed = message.tokens if pending.is_waiting else pending.owed
        return self._use_grant(held, part, needed, pending, now)

    def record_unanswered(self, request_id: int, now: float) -> bool:
        """Record a request without a reply; tell whether that is news.

        The controller is unreachable from now on.
        """
        self.stop_waiting(request_id)
        if self.alone_since is not None:
            return False
        self.alone_since = now
        self.next_probe_at = now + _PROBE_INTERVAL_S
        return True

    def stop_waiting(self, request_id: int) -> None:
        """Leave the credit of a reply that is still to come to others."""
        pending = self.pending.get(request_id)
        if pending is not None:
            pending.is_waiting = False

    def decide_alone(
        self, need: CreditNeed, now: float, request_id: int | None = None
    ) -> CreditSpending | float:
        """Admit a request without the controller, or refuse it.

        Returns the seconds until it may come back if it is refused. Late credit
        for the message `request_id` is then spent by this request.
        """
        lone_share = self._find_lone_share(need.workspace)
        admit_share = self.find_admit_share(need.workspace, now)
        if admit_share < 1:
            admit_share *= _LONE_CAUTION
        wait_s = lone_share.try_spend(need, admit_share, now, self.rng)
        if wait_s:
            return wait_s
        pending = self.pending.get(request_id or 0)
        if pending is not None:
            pending.owed = need.cost
        return CreditSpending(workspace=need.workspace, cost=need.cost)

    def return_credit(self, spending: CreditSpending, now: float) -> None:
        """Take back the credit of a request that was not sent."""
        if spending.is_alone:
            self._find_lone_share(spending.workspace).put_back(spending.cost)
            return
        held = self._find_held(spending.workspace, now)
        for part in spending.parts:
            if now < part.expires_at:
                held.add(part)
            else:
                self.returned.add(part.grant_id, part.tokens, now)

    def find_admit_share(self, workspace: str, now: float) -> float:
        """Return the share of the demand that the controller granted lately.

        It is 1 if nothing is known of the workspace.
        """
        if now - self.answered_at > _SHARE_LIFE_S:
            return 1.0
        return self.admit_shares.get(workspace, 1.0)

    def retain_workspaces(self, names: Container[str]) -> None:
        """Forget all other workspaces."""
        self.held = {
            name: held for name, held in self.held.items() if name in names
        }
        self.lone_shares = {
            name: share
            for name, share in self.lone_shares.items()
            if name in names
        }

    def _use_grant(
        self,
        held: HeldCredit,
        part: CreditPart,
        needed: float,
        pending: PendingCredit,
        now: float,
    ) -> CreditSpending | None:
        """Spend what is needed of a grant, and hold the rest."""
        if pending.is_waiting and now >= part.expires_at:
            needed = 0
        used, rest = split_part(part, needed) if needed else (None, part)
        if rest is not None:
            held.add(rest)
        if used is None or not pending.is_waiting:
            return None
        held.record_spent(needed, now)
        return CreditSpending(
            workspace=pending.message.workspace, cost=needed, parts=(used,)
        )

    def _find_held(self, workspace: str, now: float) -> HeldCredit:
        """Return the credit of a workspace without what has expired."""
        held = self.held.get(workspace)
        if held is None:
            held = HeldCredit()
            self.held[workspace] = held
        for part in held.pop_expired(now):
            self.returned.add(part.grant_id, part.tokens, now)
        return held

    def _find_lone_share(self, workspace: str) -> LoneShare:
        share = self.lone_shares.get(workspace)
        if share is None:
            share = LoneShare()
            self.lone_shares[workspace] = share
        return share

    def _drop_old_requests(self, now: float) -> None:
        while self.pending:
            first = next(iter(self.pending))
            pending = self.pending[first]
            if now - pending.sent_at < _PENDING_S:
                break
            held = self._find_held(pending.message.workspace, now)
            held.awaited -= pending.message.prefetch
            self.pending.pop(first)
