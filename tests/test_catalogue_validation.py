"""Tests of the validation of catalogue changes."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from persimmonhold.catalogue import (
    Accelerator,
    AdapterEntry,
    Bounds,
    Catalogue,
    CatalogueEntry,
    Limits,
    ModelEntry,
    ServiceClass,
    ServiceEntry,
    UpstreamEntry,
    validate_entry,
    validate_removal,
)

_MODEL = ModelEntry(
    name='tutor',
    owner='hoogwerk',
    version='1',
    weight_bytes=10,
    kv_floor_bytes=2,
)
_ADAPTER = AdapterEntry(
    name='tutor-harness',
    owner='hoogwerk',
    version='1',
    base='tutor',
    weight_bytes=1,
)
_SERVICE = ServiceEntry(name='bookings', owner='hoogwerk')
_REPLICA = UpstreamEntry(
    name='bookings-1',
    owner='hoogwerk',
    address='127.0.0.1:9001',
    failure_domain='a',
    service='bookings',
)
_ENGINE = UpstreamEntry(
    name='engine-1',
    owner='hoogwerk',
    address='127.0.0.1:9002',
    failure_domain='a',
    accelerators=(Accelerator(name='a0', memory_bytes=80),),
)


@pytest.fixture
def catalogue() -> Catalogue:
    filled = Catalogue()
    for entry in (_MODEL, _ADAPTER, _SERVICE, _REPLICA, _ENGINE):
        assert_that(validate_entry(filled, entry), Equals(''))
        filled = filled.with_entry(entry)
    return filled


@pytest.mark.parametrize(
    ('entry', 'changes', 'expected'),
    [
        (_MODEL, {'name': 'a/b'}, 'name'),
        (_MODEL, {'name': ''}, 'name'),
        (_MODEL, {'owner': ' '}, 'owner'),
        (_MODEL, {'version': ''}, 'version'),
        (_MODEL, {'weight_bytes': 0}, 'weight_bytes'),
        (_MODEL, {'kv_floor_bytes': -1}, 'kv_floor_bytes'),
        (_MODEL, {'name': 'bookings'}, 'another kind'),
        (_MODEL, {'service_class': ServiceClass.call}, 'plain services'),
        (_MODEL, {'bounds': Bounds(token_gap_ms=0)}, 'token_gap_ms'),
        (_MODEL, {'limits': Limits(requests_per_second=-1)}, 'negative'),
        (_MODEL, {'limits': Limits(min_copies=0)}, 'min_copies'),
        (_MODEL, {'limits': Limits(min_copies=3, max_copies=2)}, 'max_copies'),
        (_ADAPTER, {'base': 'absent'}, 'base'),
        (_ADAPTER, {'base': 'bookings'}, 'base'),
        (_SERVICE, {'bounds': Bounds(deadline_ms=-5)}, 'deadline_ms'),
        (_REPLICA, {'service': 'absent'}, 'service'),
        (_REPLICA, {'service': 'tutor'}, 'service'),
        (_REPLICA, {'service': ''}, 'either'),
        (_REPLICA, {'accelerators': _ENGINE.accelerators}, 'either'),
        (_REPLICA, {'failure_domain': ''}, 'failure_domain'),
        (_ENGINE, {'address': 'localhost:80'}, 'ip:port'),
        (_ENGINE, {'address': '127.0.0.1:0'}, 'ip:port'),
        (_ENGINE, {'address': '127.0.0.1:65536'}, 'ip:port'),
        (_ENGINE, {'address': '::1:80'}, 'ip:port'),
        (_ENGINE, {'name': 'engine-2'}, 'engine-1'),
        (_ENGINE, {'accelerators': _ENGINE.accelerators * 2}, 'same name'),
        (
            _ENGINE,
            {'accelerators': (Accelerator(name='', memory_bytes=0),)},
            'empty name',
        ),
        (
            _ENGINE,
            {'accelerators': (Accelerator(name='a', memory_bytes=0),)},
            'memory_bytes',
        ),
    ],
)
def test_error_names_the_invalid_field(
    catalogue: Catalogue,
    entry: CatalogueEntry,
    changes: dict[str, object],
    expected: str,
) -> None:
    invalid = msgspec.structs.replace(entry, **changes)
    assert_that(validate_entry(catalogue, invalid), Contains(expected))


@pytest.mark.parametrize(
    ('name', 'expected'),
    [
        ('tutor', 'tutor-harness'),
        ('bookings', 'bookings-1'),
        ('tutor-harness', ''),
        ('engine-1', ''),
    ],
)
def test_entries_in_use_cannot_be_removed(
    catalogue: Catalogue,
    name: str,
    expected: str,
) -> None:
    assert_that(validate_removal(catalogue, name), Contains(expected))
