"""The catalogue entry of an upstream."""

from typing import final

import msgspec

from persimmonhold.catalogue._accelerator import Accelerator


@final
class UpstreamEntry(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='upstream',
    tag_field='kind',
    forbid_unknown_fields=True,
):
    """A model engine, or a replica of a plain service.

    An upstream with accelerators is an engine; one with a `service` is a
    replica of that service. `checks_fencing` is false for an engine that does
    not refuse orders with an outdated fencing token.
    """

    name: str
    owner: str
    address: str
    failure_domain: str
    service: str = ''
    accelerators: tuple[Accelerator, ...] = ()
    checks_fencing: bool = True

    @property
    def is_engine(self) -> bool:
        """Whether the upstream is a model engine."""
        return bool(self.accelerators)
