"""Tests of settings files.

All errors are reported at once, each with file, section and key.
"""

from pathlib import Path

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, MatchesAll

from persimmonhold.settings import Settings, parse_ini, read_ini

_MINIMAL = '[vm]\nname = vm1\nfailure_domain = a\n'


def test_defaults_fill_what_is_not_given() -> None:
    settings = parse_ini(_MINIMAL, 'f.ini', Settings).unwrap()
    assert_that(settings.vm.has_entry, Equals(True))
    assert_that(settings.vm.has_control, Equals(False))
    assert_that(settings.peers.heartbeat_ms, Equals(100))


@pytest.mark.parametrize(
    ('text', 'place'),
    [
        ('[callers]\ndirectory_ttl_s = soon\n', '[callers] directory_ttl_s'),
        ('[callers]\ndirectory_ttl_s = -1\n', '[callers] directory_ttl_s'),
        ('[callers]\naddress = host:80\n', '[callers] address'),
        ('[callers]\ncolour = red\n', '[callers] colour: unknown key'),
        ('[weather]\nrain = 1\n', '[weather]: unknown section'),
        ('[logs]\nlevel = loud\n', '[logs] level'),
        ('[peers]\ncontrol = vm1\n', '[peers] control'),
    ],
)
def test_error_names_file_section_and_key(text: str, place: str) -> None:
    failures = parse_ini(_MINIMAL + text, 'f.ini', Settings).failure()
    assert_that(failures, HasLength(1))
    assert_that(
        failures[0].describe(),
        MatchesAll(Contains('f.ini'), Contains(place)),
    )


def test_all_errors_are_shown_at_once() -> None:
    text = '[vm]\nname = VM\n[callers]\nweight = 0\n[nothing]\n'
    failures = parse_ini(text, 'f.ini', Settings).failure()
    places = ' '.join(failure.describe() for failure in failures)
    for place in ('[vm] name', 'failure_domain', 'weight', '[nothing]'):
        assert_that(places, Contains(place))


def test_missing_file_is_an_error(tmp_path: Path) -> None:
    failures = read_ini(tmp_path / 'none.ini', Settings).failure()
    assert_that(failures[0].describe(), Contains('none.ini'))


def test_control_addresses_are_split_by_name() -> None:
    text = f'{_MINIMAL}[peers]\ncontrol = a@127.0.0.1:1, b@127.0.0.2:1\n'
    settings = parse_ini(text, 'f.ini', Settings).unwrap()
    assert_that(
        settings.peers.control_addresses,
        Equals({'a': '127.0.0.1:1', 'b': '127.0.0.2:1'}),
    )


def test_every_key_has_a_description() -> None:
    for section in msgspec.structs.fields(Settings):
        for field in msgspec.structs.fields(section.type):
            schema = msgspec.json.schema(field.type)
            described = schema.get('description', '')
            assert_that(
                (field.name, bool(described)), Equals((field.name, True))
            )
