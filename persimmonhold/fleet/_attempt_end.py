"""Outcomes of an attempt at an upstream that the dispatcher distinguishes."""

import enum
from typing import final


@final
@enum.unique
class AttemptEnd(enum.StrEnum):
    """How an attempt at an upstream ended.

    `answered`: the response was complete.
    `unreachable`: no connection could be established.
    `full`: the upstream refused the request for lack of capacity.
    `absent`: the upstream lacks the model or the adapter.
    `replaced`: another process answered at the address.
    `failed`: the response was an error or broke off.
    `silent`: no response arrived in time.
    `unsent`: the request was not sent.
    `limited`: the request was not sent, as the upstream has a request limit
    and no permit was issued.
    `spared`: the request was not sent, as the upstream wants no new ones.
    `withheld`: the request was not sent, as no workspace holds its key now.
    `cancelled`: the entry ended the attempt, which says nothing about the
    upstream.
    """

    answered = 'answered'
    unreachable = 'unreachable'
    full = 'full'
    absent = 'absent'
    replaced = 'replaced'
    failed = 'failed'
    silent = 'silent'
    unsent = 'unsent'
    limited = 'limited'
    spared = 'spared'
    withheld = 'withheld'
    cancelled = 'cancelled'
