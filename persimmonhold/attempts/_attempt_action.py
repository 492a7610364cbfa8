"""The union of all actions of the request state machine."""

from typing import TypeAlias

from persimmonhold.attempts._abandon_queued import AbandonQueued
from persimmonhold.attempts._claim_key_action import ClaimIdempotencyKey
from persimmonhold.attempts._close_attempt import CloseAttempt
from persimmonhold.attempts._connect import Connect
from persimmonhold.attempts._end_key_claim import EndKeyClaim
from persimmonhold.attempts._enqueue import Enqueue
from persimmonhold.attempts._finish_response import FinishResponse
from persimmonhold.attempts._refuse import (
    AbortCallerConnection,
    EndStreamWithError,
    Refuse,
)
from persimmonhold.attempts._release_unconfirmed_claim import (
    ReleaseUnconfirmedClaim,
)
from persimmonhold.attempts._replay_outcome import ReplayOutcome
from persimmonhold.attempts._request_retry import RequestResume, RequestRetry
from persimmonhold.attempts._send_body import SendBody
from persimmonhold.attempts._start_response import StartResponse

AttemptAction: TypeAlias = (
    AbandonQueued
    | AbortCallerConnection
    | ClaimIdempotencyKey
    | CloseAttempt
    | Connect
    | EndKeyClaim
    | EndStreamWithError
    | Enqueue
    | FinishResponse
    | Refuse
    | ReleaseUnconfirmedClaim
    | ReplayOutcome
    | RequestResume
    | RequestRetry
    | SendBody
    | StartResponse
)
AttemptActions: TypeAlias = tuple[AttemptAction, ...]
