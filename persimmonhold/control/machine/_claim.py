"""An idempotency key and the request that holds it."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A claimed key; `index` is the log index of the claim.

    A released claim is kept for a while, so that a late copy of the command
    that made it cannot claim the key again. `settled_ms` is the clock of the
    state when the outcome or the release was recorded.
    """

    index: int
    at_ms: int
    caller: str
    service: str
    key: str
    content_digest: str
    request_id: str
    vm: str
    incarnation: str = ''
    released: bool = False
    settled_ms: int = 0
    in_doubt: bool = False
    outcome: CallOutcome | None = None

    @property
    def scope(self) -> tuple[str, str, str]:
        """Within which the key is unique."""
        return (self.caller, self.service, self.key)

    @property
    def is_open(self) -> bool:
        """Tell whether the request may still be under way."""
        return not (self.released or self.in_doubt or self.outcome)
