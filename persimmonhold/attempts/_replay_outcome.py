"""The action that answers a resent request with its recorded outcome."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class ReplayOutcome(msgspec.Struct, frozen=True):
    """Respond with the recorded outcome of an earlier request with the key."""

    outcome: CallOutcome
