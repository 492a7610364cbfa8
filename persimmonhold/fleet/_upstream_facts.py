"""What the entries are told of an upstream."""

from typing import Self, final

import msgspec

from persimmonhold.fleet._held_model import HeldModel
from persimmonhold.fleet._listed_upstream import ListedUpstream


@final
class UpstreamFacts(msgspec.Struct, frozen=True, array_like=True):
    """List and reports put together.

    `is_silent` tells that the upstream does not answer questions about its
    state. `in_memory` and `on_disk` name models that load faster there.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    born_ms: int = 0
    is_leaving: bool = False
    is_silent: bool = False
    is_changing: bool = False
    models: tuple[HeldModel, ...] = ()

    @classmethod
    def from_listed(cls, listed: ListedUpstream) -> Self:
        """Return what the list alone tells."""
        return cls(
            name=listed.name,
            service=listed.service,
            address=listed.address,
            failure_domain=listed.failure_domain,
            slots=listed.slots,
            born_ms=listed.born_ms,
            is_leaving=listed.is_leaving,
            models=listed.models or (),
        )

    @property
    def process_key(self) -> tuple[str, int]:
        """Identifies one start of the upstream."""
        return self.name, self.born_ms

    def find_model(self, model: str) -> HeldModel | None:
        """Return what is held of a model, or None."""
        return next((held for held in self.models if held.name == model), None)
