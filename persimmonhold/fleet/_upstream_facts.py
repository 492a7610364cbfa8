"""What the entries are told of an upstream."""

from typing import final

import msgspec

from persimmonhold.fleet._held_model import HeldModel


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

    @property
    def process(self) -> tuple[str, int]:
        """Identifies one start of the upstream."""
        return self.name, self.born_ms

    def find(self, model: str) -> HeldModel | None:
        """Return what is held of a model, or None."""
        return next((held for held in self.models if held.name == model), None)
