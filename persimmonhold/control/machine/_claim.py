"""An idempotency key and the request that holds it."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A claimed key; `index` is the log index of the claim."""

    index: int
    at_ms: int
    caller: str
    service: str
    key: str
    content_digest: str
    request_id: str
    vm: str
    in_doubt: bool = False
    outcome: CallOutcome | None = None

    @property
    def scope(self) -> tuple[str, str, str]:
        """Within which the key is unique."""
        return (self.caller, self.service, self.key)
