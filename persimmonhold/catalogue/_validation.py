"""Validates changes to the catalogue.

Each rule depends only on the current catalogue and the change, so that all
replicas reach the same decision. Errors are worded for the operator.
"""

import ipaddress
import re
from collections.abc import Iterator
from typing import Final

import msgspec

from persimmonhold.catalogue._adapter_entry import AdapterEntry
from persimmonhold.catalogue._bounds import Bounds
from persimmonhold.catalogue._catalogue import Catalogue
from persimmonhold.catalogue._entry import CatalogueEntry
from persimmonhold.catalogue._limits import Limits
from persimmonhold.catalogue._model_entry import ModelEntry
from persimmonhold.catalogue._service_class import ServiceClass
from persimmonhold.catalogue._service_entry import ServiceEntry
from persimmonhold.catalogue._upstream_entry import UpstreamEntry

_NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._:@-]{0,127}')
_MAX_PORT: Final = 65_535


def validate_entry(catalogue: Catalogue, entry: CatalogueEntry) -> str:
    """Return why `entry` cannot be put, or an empty string."""
    return next(_entry_errors(catalogue, entry), '')


def validate_removal(catalogue: Catalogue, name: str) -> str:
    """Return why the entry cannot be deleted, or an empty string."""
    for adapter in catalogue.entries_of_type(AdapterEntry):
        if adapter.base == name:
            return f'model is the base of adapter {adapter.name!r}'
    for upstream in catalogue.entries_of_type(UpstreamEntry):
        if upstream.service == name:
            return f'service has the upstream {upstream.name!r}'
    return ''


def _entry_errors(
    catalogue: Catalogue,
    entry: CatalogueEntry,
) -> Iterator[str]:
    if not _NAME_PATTERN.fullmatch(entry.name):
        yield f'name {entry.name!r} does not match {_NAME_PATTERN.pattern}'
    if not entry.owner.strip():
        yield 'owner is empty'
    existing = catalogue.find(entry.name)
    if existing is not None and not isinstance(entry, type(existing)):
        yield 'name belongs to an entry of another kind'
    match entry:
        case ModelEntry():
            yield from _model_errors(entry)
        case AdapterEntry():
            yield from _adapter_errors(catalogue, entry)
        case ServiceEntry():
            yield from _service_errors(entry)
        case UpstreamEntry():
            yield from _upstream_errors(catalogue, entry)


def _model_errors(model: ModelEntry) -> Iterator[str]:
    if model.kv_floor_bytes < 0:
        yield 'kv_floor_bytes is negative'
    yield from _model_or_adapter_errors(model)


def _adapter_errors(
    catalogue: Catalogue,
    adapter: AdapterEntry,
) -> Iterator[str]:
    if not isinstance(catalogue.find(adapter.base), ModelEntry):
        yield f'base {adapter.base!r} is not a model of the catalogue'
    yield from _model_or_adapter_errors(adapter)


def _model_or_adapter_errors(entry: ModelEntry | AdapterEntry) -> Iterator[str]:
    if not entry.version:
        yield 'version is empty'
    if entry.weight_bytes <= 0:
        yield 'weight_bytes is not positive'
    if entry.service_class is ServiceClass.call:
        yield 'service_class call belongs to plain services'
    yield from _bounds_and_limits_errors(entry.bounds, entry.limits)


def _service_errors(service: ServiceEntry) -> Iterator[str]:
    for rule in service.rules:
        if not rule.method:
            yield 'a rule has an empty method; * stands for any'
    yield from _bounds_and_limits_errors(service.bounds, service.limits)


def _bounds_and_limits_errors(bounds: Bounds, limits: Limits) -> Iterator[str]:
    for bound, bound_ms in msgspec.structs.asdict(bounds).items():
        if bound_ms <= 0:
            yield f'bounds.{bound} is not positive'
    for limit, limit_value in msgspec.structs.asdict(limits).items():
        if limit_value < 0:
            yield f'limits.{limit} is negative'
    if limits.min_copies < 1:
        yield 'limits.min_copies is below 1'
    if limits.max_copies and limits.max_copies < limits.min_copies:
        yield 'limits.max_copies is below min_copies'


def _upstream_errors(
    catalogue: Catalogue,
    upstream: UpstreamEntry,
) -> Iterator[str]:
    if not _is_ip_and_port(upstream.address):
        yield f'address {upstream.address!r} is not ip:port'
    if not upstream.failure_domain:
        yield 'failure_domain is empty'
    if bool(upstream.service) == upstream.is_engine:
        yield 'an upstream has either accelerators or a service'
    if upstream.service:
        service = catalogue.find(upstream.service)
        if not isinstance(service, ServiceEntry):
            yield f'service {upstream.service!r} is not in the catalogue'
    yield from _accelerator_errors(upstream)
    for other in catalogue.entries_of_type(UpstreamEntry):
        # Two entries for one engine would count its memory twice.
        if other.address == upstream.address and other.name != upstream.name:
            yield f'address belongs to upstream {other.name!r}'


def _accelerator_errors(upstream: UpstreamEntry) -> Iterator[str]:
    names = {accelerator.name for accelerator in upstream.accelerators}
    if '' in names:
        yield 'an accelerator has an empty name'
    if len(names) < len(upstream.accelerators):
        yield 'two accelerators have the same name'
    if any(device.memory_bytes <= 0 for device in upstream.accelerators):
        yield 'memory_bytes of an accelerator is not positive'


def _is_ip_and_port(text: str) -> bool:
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdecimal()):
        return False
    if not 0 < int(port) <= _MAX_PORT:
        return False
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return ':' not in host or host.startswith('[')
