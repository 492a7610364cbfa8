"""The action that refuses a request."""

from typing import final

import msgspec

from persimmonhold.failures import Refusal


@final
class Refuse(msgspec.Struct, frozen=True):
    """Answer the caller with the refusal.

    The dispatcher no longer tracks the request.
    """

    request_id: str
    refusal: Refusal
