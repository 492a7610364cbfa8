"""The result of relaying a request to another entry."""

import enum
from typing import final

import msgspec

from persimmonhold.web import Headers


@final
@enum.unique
class RelayEnd(enum.StrEnum):
    """How a relayed request ended.

    `delivered`: the caller has the whole response.
    `refused`: the entry refused it, and did not run it.
    `unable`: the entry cannot take relayed requests now; not run.
    `failed`: it may have run, and the response did not arrive in full.
    """

    delivered = 'delivered'
    refused = 'refused'
    unable = 'unable'
    failed = 'failed'


@final
class RelayResult(msgspec.Struct, frozen=True, kw_only=True):
    """How a relayed request ended.

    `status`, `reason` and `headers` are those of a refusal for the caller.
    """

    end: RelayEnd
    detail: str = ''
    status: int = 0
    reason: str = ''
    headers: Headers = ()
