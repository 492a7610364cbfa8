"""The credit of all workspaces, at the fleet controller of a term.

Invariant: in any time, the credit granted for a workspace and not returned is
at most the rate of its limit times that time, plus the burst, plus the debt
that a bucket tolerates, plus what its largest request exceeds the burst by.
"""

import itertools
import math
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Final, TypeAlias, final

import msgspec

from persimmonhold.fleet import CreditReply, CreditRequest
from persimmonhold.quota._credit_bucket import CreditBucket
from persimmonhold.quota._credit_grant import CreditGrant
from persimmonhold.quota._workspace_credit import WorkspaceCredit
from persimmonhold.routes import WorkspaceLimit

# An entry spends a grant within this time, or returns it.
GRANT_TERM_S: Final = 2.0
# Unspent credit may be returned until then: a request that waits for an
# upstream in vain ends within this time.
_RETURN_TERM_S: Final = 12.0
# Replies carry the shares of workspaces that get less than they request.
_SHARES_INTERVAL_S: Final = 0.1
_MAX_SHORT_SHARES: Final = 16
# A workspace whose share is lower is short of credit.
_SHORT_SHARE: Final = 0.9

_RequestKey: TypeAlias = tuple[str, int]


@final
class QuotaBook:
    """The buckets of all limited workspaces, and the grants out of them.

    `answered` has the replies of the last `GRANT_TERM_S` by entry and request,
    with their times, and `grants` those of the last `_RETURN_TERM_S`; both are
    in the order of time.
    """

    __slots__ = (
        'answered',
        'answered_keys',
        'credits',
        'grant_ids',
        'grant_order',
        'grants',
        'refill_share',
        'short_shares',
        'shares_at',
    )

    def __init__(self, first_grant_id: int) -> None:
        """Create a book; no other book may use the ids that follow."""
        self.credits: dict[str, WorkspaceCredit] = {}
        self.grants: dict[int, CreditGrant] = {}
        self.grant_order: deque[CreditGrant] = deque()
        self.answered: dict[_RequestKey, tuple[CreditReply, float]] = {}
        self.answered_keys: deque[_RequestKey] = deque()
        self.grant_ids = itertools.count(first_grant_id)
        self.refill_share = 1.0
        self.short_shares: tuple[tuple[str, float], ...] = ()
        self.shares_at = -math.inf

    def apply_limits(
        self, limits: Mapping[str, WorkspaceLimit], now: float
    ) -> None:
        """Use these limits, by workspace, from now on."""
        for gone in self.credits.keys() - limits.keys():
            self.credits.pop(gone)
        for name, limit in limits.items():
            credit = self.credits.get(name)
            if credit is None:
                bucket = CreditBucket(limit, now, self.refill_share)
                self.credits[name] = WorkspaceCredit(bucket, now)
            elif limit != credit.bucket.limit:
                credit.bucket.change_limit(limit, now)

    def apply_refill_share(self, refill_share: float, now: float) -> None:
        """Leave the rest of each rate to entries that are cut off."""
        if refill_share != self.refill_share:
            self.refill_share = refill_share
            for credit in self.credits.values():
                credit.bucket.change_refill_share(refill_share, now)

    def skip_pause(self, paused_s: float, now: float) -> None:
        """Refill nothing for a time in which this VM was paused.

        Entries have admitted requests on their own meanwhile. Where most of the
        demand was granted before, the buckets were nearly full.
        """
        for credit in self.credits.values():
            if credit.compute_share(now - paused_s) < _SHORT_SHARE:
                credit.bucket.skip(paused_s, now)

    def answer_request(
        self, entry: str, request: CreditRequest, now: float
    ) -> CreditReply:
        """Grant credit, or tell when to ask again.

        A repeated request gets the same answer.
        """
        self._drop_old(now)
        self._take_returned(entry, request.returned, now)
        key = (entry, request.request_id)
        known = self.answered.get(key)
        if known is not None:
            reply, answered_at = known
            left_s = max(0, GRANT_TERM_S - (now - answered_at))
            return msgspec.structs.replace(reply, term_s=left_s)
        reply = self._answer_new(entry, request, now)
        self.answered[key] = (reply, now)
        self.answered_keys.append(key)
        return reply

    def pop_summaries(self) -> list[dict[str, str | float]]:
        """Return and reset the counts by workspace, most refused first."""
        used = [
            (credit.refused, credit.granted, name, credit)
            for name, credit in self.credits.items()
            if credit.is_used
        ]
        used.sort(key=_order_of_summary, reverse=True)
        return [credit.pop_summary(name) for _, _, name, credit in used]

    def _answer_new(
        self, entry: str, request: CreditRequest, now: float
    ) -> CreditReply:
        credit = self.credits.get(request.workspace)
        if credit is None:
            # Its limit was removed, which the entry does not know yet.
            return self._grant(entry, request, request.tokens, 1.0, now)
        if not request.tokens:
            share = credit.compute_share(now)
            return self._build_reply(request, 0, share, now)
        wait_s = credit.bucket.try_take(request.tokens, now)
        # The demand of a request counts once, however often it asks.
        demand = 0 if request.has_asked else request.tokens
        credit.share.record(demand, 0 if wait_s else request.tokens, now)
        share = credit.compute_share(now)
        if wait_s:
            credit.refused += demand
            return self._build_reply(request, wait_s, share, now)
        tokens = request.tokens + credit.bucket.take_surplus(request.prefetch)
        credit.granted += tokens
        return self._grant(entry, request, tokens, share, now)

    def _build_reply(
        self, request: CreditRequest, wait_s: float, share: float, now: float
    ) -> CreditReply:
        """Return a reply without credit."""
        return CreditReply(
            request_id=request.request_id,
            grant_id=0,
            tokens=0,
            term_s=0,
            wait_s=wait_s,
            admit_share=share,
            short_shares=self._find_short_shares(now),
        )

    def _grant(
        self,
        entry: str,
        request: CreditRequest,
        tokens: float,
        share: float,
        now: float,
    ) -> CreditReply:
        grant = CreditGrant(
            grant_id=next(self.grant_ids),
            entry=entry,
            workspace=request.workspace,
            tokens=tokens,
            granted_at=now,
        )
        self.grants[grant.grant_id] = grant
        self.grant_order.append(grant)
        return msgspec.structs.replace(
            self._build_reply(request, 0, share, now),
            grant_id=grant.grant_id,
            tokens=tokens,
            term_s=GRANT_TERM_S,
        )

    def _find_short_shares(self, now: float) -> tuple[tuple[str, float], ...]:
        if now >= self.shares_at + _SHARES_INTERVAL_S:
            self.shares_at = now
            shares = [
                (credit.compute_share(now), name)
                for name, credit in self.credits.items()
                if credit.share.slots
            ]
            lowest = sorted(one for one in shares if one[0] < 1)
            self.short_shares = tuple(
                (name, share) for share, name in lowest[:_MAX_SHORT_SHARES]
            )
        return self.short_shares

    def _take_returned(
        self, entry: str, returned: Iterable[tuple[int, float]], now: float
    ) -> None:
        """Put back what an entry returns for the first time."""
        for grant_id, total in returned:
            grant = self.grants.get(grant_id)
            if grant is None or grant.entry != entry:
                continue
            added = min(total, grant.tokens) - grant.returned
            credit = self.credits.get(grant.workspace)
            if added > 0:
                grant.returned += added
                if credit is not None:
                    credit.bucket.put_back(added, now)
                    credit.returned += added

    def _drop_old(self, now: float) -> None:
        while self.answered_keys:
            key = self.answered_keys[0]
            if now - self.answered[key][1] < GRANT_TERM_S:
                break
            self.answered_keys.popleft()
            self.answered.pop(key)
        while self.grant_order:
            grant = self.grant_order[0]
            if now - grant.granted_at < _RETURN_TERM_S:
                break
            self.grant_order.popleft()
            self.grants.pop(grant.grant_id)


def _order_of_summary(
    used: tuple[float, float, str, WorkspaceCredit],
) -> tuple[float, float, str]:
    return used[:3]
