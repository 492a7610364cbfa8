"""The action that answers with a recorded outcome."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class ReplayOutcome(msgspec.Struct, frozen=True):
    """Answer with the recorded outcome of an earlier request."""

    outcome: CallOutcome
