"""The facts about an upstream that the fleet controller sends to entries."""

from typing import Self, final

import msgspec

from persimmonhold.fleet._held_model import HeldModel
from persimmonhold.fleet._listed_upstream import ListedUpstream


@final
class UpstreamFacts(msgspec.Struct, frozen=True, array_like=True):
    """What the upstream list and the reports of an upstream state about it.

    `born_ms` is the start time of its process, or 0 if unknown. `is_silent`
    tells that the upstream does not answer report requests.
    `is_changing` tells that no adapter can be loaded there now. `limit_per_s`
    is how many requests a second it accepts from all VMs, or None.
    `software_version` is empty if it is not known of this process.
    `refusals_per_s` is how many requests a second it can refuse for want of room
    before it fails, or None if it states no such bound.
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
    limit_per_s: float | None = None
    software_version: str = ''
    refusals_per_s: float | None = None

    @classmethod
    def from_listed(cls, listed: ListedUpstream) -> Self:
        """Create the facts that the list alone provides."""
        return cls(
            name=listed.name,
            service=listed.service,
            address=listed.address,
            failure_domain=listed.failure_domain,
            slots=listed.slots,
            born_ms=listed.born_ms,
            is_leaving=listed.is_leaving,
            models=listed.models or (),
            software_version=listed.software_version,
        )

    @property
    def process_key(self) -> tuple[str, int]:
        """The name and the start time, which together identify a process."""
        return self.name, self.born_ms

    @property
    def build(self) -> str:
        """What the process writes fits together with that of equal builds.

        It is the software version; of unknown ones, nothing is equal to another
        process.
        """
        return self.software_version or f'{self.name}@{self.born_ms}'

    @property
    def is_serving(self) -> bool:
        """Whether the upstream neither leaves nor fails to report."""
        return not self.is_leaving and not self.is_silent

    @property
    def group(self) -> tuple[str, tuple[str, ...]]:
        """The service and the models held, by which requests find it."""
        return self.service, tuple(held.name for held in self.models)

    def find_model(self, model: str) -> HeldModel | None:
        """Return the held model of that name, or None."""
        return next((held for held in self.models if held.name == model), None)
