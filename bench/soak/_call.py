"""One request of a caller."""

import enum
from typing import final

import msgspec

from persimmonhold.web import ClientRequest


@final
class CallEnd(enum.Enum):
    """How a call ended."""

    pending = 'pending'
    answered = 'answered'
    cut = 'cut'
    timed_out = 'timed out'
    abandoned = 'abandoned'


@final
class Call(msgspec.Struct, kw_only=True):
    """A request and what its caller saw of it.

    Times are of the loop, in seconds. The caller leaves after `patience_s`,
    unless that is 0. The request was sent from `begun_at` to `sent_at`.
    `status` is 0 without a response head, `is_signed` tells
    whether the response is of an upstream, `problem` what is wrong with it.
    `received` is its body as far as it arrived, with the events after number
    `after` of a stream.
    """

    request_id: str
    request: ClientRequest
    deadline_s: float
    is_repeatable: bool
    event_count: int = 0
    patience_s: float = 0
    vm: str = ''
    begun_at: float = 0
    sent_at: float = 0
    ended_at: float = 0
    end: CallEnd = CallEnd.pending
    status: int = 0
    is_signed: bool = False
    problem: str = ''
    after: int = 0
    received: bytes = b''
