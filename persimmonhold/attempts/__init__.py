"""The life of a request: claims, attempts, retries, resumption."""

from persimmonhold.attempts._abandon_queued import AbandonQueued
from persimmonhold.attempts._answer_head import AnswerHead
from persimmonhold.attempts._attempt_action import (
    AttemptAction,
    AttemptActions,
)
from persimmonhold.attempts._attempt_fault import AttemptFault
from persimmonhold.attempts._claim_key_action import ClaimIdempotencyKey
from persimmonhold.attempts._close_attempt import CloseAttempt
from persimmonhold.attempts._connect import Connect
from persimmonhold.attempts._end_key_claim import EndKeyClaim
from persimmonhold.attempts._enqueue import Enqueue
from persimmonhold.attempts._event_cutter import EventCutter
from persimmonhold.attempts._finish_answer import FinishAnswer
from persimmonhold.attempts._phase import Phase
from persimmonhold.attempts._refuse import (
    AbortCaller,
    EndStreamWithError,
    Refuse,
)
from persimmonhold.attempts._release_failed_claim import ReleaseFailedClaim
from persimmonhold.attempts._replay_outcome import ReplayOutcome
from persimmonhold.attempts._request_life import RequestLife
from persimmonhold.attempts._request_plan import RequestPlan
from persimmonhold.attempts._request_retry import RequestResume, RequestRetry
from persimmonhold.attempts._send_body import SendBody
from persimmonhold.attempts._start_answer import StartAnswer

__all__ = (
    'AbandonQueued',
    'AbortCaller',
    'AnswerHead',
    'AttemptAction',
    'AttemptActions',
    'AttemptFault',
    'ClaimIdempotencyKey',
    'CloseAttempt',
    'Connect',
    'EndKeyClaim',
    'EndStreamWithError',
    'Enqueue',
    'EventCutter',
    'FinishAnswer',
    'Phase',
    'Refuse',
    'ReleaseFailedClaim',
    'ReplayOutcome',
    'RequestLife',
    'RequestPlan',
    'RequestResume',
    'RequestRetry',
    'SendBody',
    'StartAnswer',
)
