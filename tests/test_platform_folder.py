"""The platform adapter stays small, and its wire names stay inside it."""

import re
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

_PACKAGE = Path(__file__).parent.parent / 'persimmonhold'
_FOLDER = _PACKAGE / 'platform'
_WIRE_NAMES = (
    'api-key',
    'attempt-id',
    'authorization',
    'cold-remaining-ms',
    'deadline-ms',
    'expect-instance',
    'fencing-token',
    'instance-id',
    'instances',
    'kv-',
    'length-hint',
    'next-token',
    'not-executed',
    'path-prefix',
    'pin-ms',
    'prefix-hash',
    'request-urgency',
    'server-leaving',
    'server-limit',
    'server-signature',
    'target-itl-ms',
    'token-count',
    'tenant',
    'ttl-s',
    'uncached-tokens',
    'weights-mb',
)


def _count_lines(folder: Path) -> int:
    return sum(
        len(path.read_text(encoding='utf-8').splitlines())
        for path in folder.rglob('*.py')
    )


def test_adapter_is_under_a_twelfth_of_the_product() -> None:
    assert_that(_count_lines(_FOLDER) * 12, LessThan(_count_lines(_PACKAGE)))


@pytest.mark.parametrize('name', _WIRE_NAMES)
def test_wire_names_are_used_only_in_the_adapter(name: str) -> None:
    """Wire names of the product's own interface are prefixed by its name."""
    literal = re.compile(rf"['\"]{re.escape(name)}", re.IGNORECASE)
    found = [
        str(path.relative_to(_PACKAGE))
        for path in _PACKAGE.rglob('*.py')
        if _FOLDER not in path.parents
        and literal.search(path.read_text(encoding='utf-8'))
    ]
    assert_that(found, Equals([]))
