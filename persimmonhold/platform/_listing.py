"""Decodes the platform's list of upstreams, and the reports of upstreams."""

from typing import Any, Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold._json import decode_json
from persimmonhold.fleet import HeldModel, ListedUpstream, UpstreamReport
from persimmonhold.platform._list_page_reader import read_list_page
from persimmonhold.platform._wire_types import Count, Name
from persimmonhold.web import parse_address

_KNOWN_STATES: Final = frozenset(('ready', 'draining'))
_DRAINING: Final = 'draining'
_MAX_VERSION_CHARS: Final = 128


@final
class _WireHeld(msgspec.Struct, frozen=True):
    """A model that an upstream holds, and its adapters there."""

    name: Name
    version: Count = 0
    adapters: tuple[Name, ...] = ()


@final
class _WireEntry(msgspec.Struct, frozen=True, rename='kebab'):
    """An upstream on the list; `born` is the start time of its process.

    `version` is that of its software; one that is not a text is unknown.
    """

    id: Name
    service: Name
    address: Name
    zone: Name
    state: str
    slots: Count = 1
    born: Count = 0
    models: tuple[_WireHeld, ...] | None = None
    version: object = ''


@final
class _WireResident(msgspec.Struct, frozen=True, rename='kebab'):
    """Models whose weights an upstream has in host memory or on its disk."""

    in_memory: tuple[Name, ...] = ()
    on_disk: tuple[Name, ...] = ()


@final
class _WireReport(msgspec.Struct, frozen=True, rename='kebab'):
    """A report of an upstream.

    `seq` counts accepted orders; `pending` names adapters being loaded.
    """

    seq: Count
    busy: bool
    models: tuple[_WireHeld, ...]
    born: Count = 0
    state: str = 'ready'
    pending: tuple[Name, ...] = ()
    resident: _WireResident = _WireResident()


@final
class ListPage(msgspec.Struct, frozen=True):
    """One page of the list.

    `unreadable_count` is the number of entries that could not be decoded,
    `next_page` the token of the next page, or None.
    """

    upstreams: tuple[ListedUpstream, ...]
    unreadable_count: int
    next_page: str | None


def decode_list_page(body: bytes) -> Result[ListPage, str]:
    """Return one page of the list, or why it cannot be decoded.

    Single entries that cannot be decoded are only counted.
    """
    try:
        entries, next_page = read_list_page(body)
    except msgspec.DecodeError as error:
        return Failed(str(error))
    listed = [_decode_entry(raw) for raw in entries]
    readable = tuple(upstream for upstream in listed if upstream is not None)
    unreadable = len(listed) - len(readable)
    return Success(ListPage(readable, unreadable, next_page))


def decode_report(body: bytes) -> Result[UpstreamReport, str]:
    """Return the report of an upstream, or why it cannot be decoded."""
    try:
        wire = decode_json(body, _WireReport)
    except msgspec.DecodeError as error:
        return Failed(str(error))
    return Success(
        UpstreamReport(
            born_ms=wire.born,
            accepted_orders=wire.seq,
            is_busy=wire.busy,
            models=_convert_held_models(wire.models),
            loading_adapters=tuple(
                _parse_adapter_reference(text) for text in wire.pending
            ),
            in_memory=wire.resident.in_memory,
            on_disk=wire.resident.on_disk,
            is_leaving=wire.state == _DRAINING,
        ),
    )


def _decode_entry(raw: bytes | msgspec.Raw) -> ListedUpstream | None:
    """Return one entry of the list; None if it is invalid or not in use.

    An upstream is in use if its state is ready or draining.
    """
    try:
        wire = decode_json(raw, _WireEntry)
    except msgspec.DecodeError:
        return None
    if wire.state not in _KNOWN_STATES or not wire.id:
        return None
    address = parse_address(wire.address)
    if isinstance(address, Failed) or not address.unwrap().port:
        return None
    return ListedUpstream(
        name=wire.id,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        slots=wire.slots,
        is_leaving=wire.state == _DRAINING,
        born_ms=wire.born,
        models=None
        if wire.models is None
        else _convert_held_models(wire.models),
        software_version=_read_version(wire.version),
    )


def _read_version(version: object) -> str:
    """Return a version of usual length, or '' if it is unknown."""
    if isinstance(version, str) and len(version) <= _MAX_VERSION_CHARS:
        return version
    return ''


def _convert_held_models(wire: tuple[Any, ...]) -> tuple[HeldModel, ...]:
    return tuple(
        HeldModel(held.name, held.version, held.adapters) for held in wire
    )


def _parse_adapter_reference(reference: str) -> tuple[str, str]:
    """Return model and adapter of MODEL/NAME@VERSION, without the version."""
    model, _, adapter = reference.partition('/')
    return model, adapter.partition('@')[0]
