"""The claim of a request on an idempotency key."""

from typing import final

import msgspec

from persimmonhold.messages import CallOutcome


@final
class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A claim on an idempotency key; `index` is its log index and id.

    A released claim is kept for the retention period, so that a delayed
    duplicate of its command cannot claim the key again. `settled_ms` is the
    clock of the state when the outcome or the release was recorded, and 0
    before.
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
        """The caller, service and key, which together are unique."""
        return (self.caller, self.service, self.key)

    @property
    def is_open(self) -> bool:
        """Whether the request may still be running."""
        return not (self.released or self.in_doubt or self.outcome)
