"""The catalogue entry of a plain service."""

from typing import final

import msgspec

from persimmonhold.catalogue._bounds import Bounds
from persimmonhold.catalogue._call_rule import CallRule
from persimmonhold.catalogue._limits import Limits
from persimmonhold.catalogue._service_class import ServiceClass


@final
class ServiceEntry(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='service',
    tag_field='kind',
    forbid_unknown_fields=True,
):
    """A plain service: an HTTP service that is not a model engine."""

    name: str
    owner: str
    rules: tuple[CallRule, ...] = ()
    service_class: ServiceClass = ServiceClass.call
    bounds: Bounds = Bounds()
    limits: Limits = Limits()

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may be sent more than once."""
        for rule in self.rules:
            if rule.matches(method, path):
                return rule.idempotent
        return False
