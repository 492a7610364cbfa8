"""The actions that request a further attempt."""

from typing import final

import msgspec

from persimmonhold.attempts._attempt_fault import AttemptFault


@final
class RequestRetry(msgspec.Struct, frozen=True, kw_only=True):
    """Ask admission for a further attempt elsewhere."""

    failed_upstream: str
    fault: AttemptFault


@final
class RequestResume(msgspec.Struct, frozen=True, kw_only=True):
    """Queue a preempted generation again."""

    delivered_tokens: int
