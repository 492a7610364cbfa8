"""The action that replays a recorded outcome."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class ReplayOutcome(msgspec.Struct, frozen=True):
    """Respond with the recorded outcome of an earlier request."""

    outcome: CallOutcome
