"""Tests of catalogue revisions, encoding and call rules."""

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from persimmonhold.catalogue import (
    CallRule,
    Catalogue,
    CatalogueEntry,
    ModelEntry,
    ServiceEntry,
)


@pytest.fixture
def model() -> ModelEntry:
    return ModelEntry(
        name='tutor',
        owner='hoogwerk',
        version='1',
        weight_bytes=10,
        kv_floor_bytes=2,
    )


def test_each_change_increments_the_revision(model: ModelEntry) -> None:
    first = Catalogue().with_entry(model)
    second = first.without_entry(model.name)
    assert_that(second.revision, GreaterThan(first.revision))
    assert_that(second.find(model.name), Equals(None))


def test_entry_round_trips_through_msgpack(model: ModelEntry) -> None:
    encoded = msgspec.msgpack.encode(model)
    decoded = msgspec.msgpack.decode(encoded, type=CatalogueEntry)
    assert_that(decoded, Equals(model))


@pytest.mark.parametrize(
    ('method', 'path', 'expected'),
    [
        ('GET', 'status/1', True),
        ('POST', 'status/1', False),
        ('POST', 'lodge', False),
    ],
)
def test_unmatched_calls_are_not_idempotent(
    method: str,
    path: str,
    expected: bool,
) -> None:
    service = ServiceEntry(
        name='lodgements',
        owner='levy',
        rules=(CallRule(method='GET', path_prefix='', idempotent=True),),
    )
    assert_that(service.is_idempotent(method, path), Equals(expected))
