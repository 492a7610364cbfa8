"""The state machine of a caller's request and the actions it returns.

It covers the claim of an idempotency key, attempts at upstreams, retries,
and the resumption of a broken stream at another upstream.
"""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
    from persimmonhold.attempts._abandon_queued import AbandonQueued
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
    from persimmonhold.attempts._event_boundary import EventBoundary
    from persimmonhold.attempts._event_framer import EventFramer
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
    from persimmonhold.attempts._request_phase import RequestPhase
    from persimmonhold.attempts._request_properties import RequestProperties
    from persimmonhold.attempts._request_retry import (
        RequestResume,
        RequestRetry,
    )
    from persimmonhold.attempts._request_state_machine import (
        RequestStateMachine,
    )
    from persimmonhold.attempts._response_verdict import (
        ResponseVerdict,
        judge_response,
    )
    from persimmonhold.attempts._send_body import SendBody
    from persimmonhold.attempts._start_response import StartResponse
    from persimmonhold.attempts._upstream_response_head import (
        UpstreamResponseHead,
    )

__all__ = (
    'AbandonQueued',
    'AbortCallerConnection',
    'UpstreamResponseHead',
    'AttemptAction',
    'AttemptActions',
    'AttemptFault',
    'ClaimIdempotencyKey',
    'CloseAttempt',
    'Connect',
    'EndKeyClaim',
    'EndStreamWithError',
    'Enqueue',
    'EventBoundary',
    'EventFramer',
    'FinishResponse',
    'RequestPhase',
    'Refuse',
    'ReleaseUnconfirmedClaim',
    'ReplayOutcome',
    'RequestStateMachine',
    'RequestProperties',
    'RequestResume',
    'RequestRetry',
    'ResponseVerdict',
    'SendBody',
    'StartResponse',
    'judge_response',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'AbandonQueued': '_abandon_queued',
            'AbortCallerConnection': '_refuse',
            'AttemptAction': '_attempt_action',
            'AttemptActions': '_attempt_action',
            'AttemptFault': '_attempt_fault',
            'ClaimIdempotencyKey': '_claim_key_action',
            'CloseAttempt': '_close_attempt',
            'Connect': '_connect',
            'EndKeyClaim': '_end_key_claim',
            'EndStreamWithError': '_refuse',
            'Enqueue': '_enqueue',
            'EventBoundary': '_event_boundary',
            'EventFramer': '_event_framer',
            'FinishResponse': '_finish_response',
            'Refuse': '_refuse',
            'ReleaseUnconfirmedClaim': '_release_unconfirmed_claim',
            'ReplayOutcome': '_replay_outcome',
            'RequestPhase': '_request_phase',
            'RequestProperties': '_request_properties',
            'RequestResume': '_request_retry',
            'RequestRetry': '_request_retry',
            'RequestStateMachine': '_request_state_machine',
            'ResponseVerdict': '_response_verdict',
            'SendBody': '_send_body',
            'StartResponse': '_start_response',
            'UpstreamResponseHead': '_upstream_response_head',
            'judge_response': '_response_verdict',
        },
    )
