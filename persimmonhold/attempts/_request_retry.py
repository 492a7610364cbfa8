"""The actions that request a further attempt."""

from typing import final

import msgspec

from persimmonhold.attempts._attempt_fault import AttemptFault


@final
class RequestRetry(msgspec.Struct, frozen=True, kw_only=True):
    """Ask admission for a further attempt at another upstream."""

    failed_upstream: str
    fault: AttemptFault


@final
class RequestResume(msgspec.Struct, frozen=True, kw_only=True):
    """Ask admission to queue a preempted request again.

    `delivered_tokens` is the number of tokens already sent to the caller.
    """

    delivered_tokens: int
