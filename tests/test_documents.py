"""Tests that the documents match the code."""

import re
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from bench.reference_tables import (
    METRICS_PAGE,
    SETTINGS_PAGE,
    format_metrics_page,
    format_settings_table,
)
from persimmonhold.cli import ExitCode
from persimmonhold.settings import Settings, read_ini

_ROOT = Path(__file__).parent.parent
_SAMPLES = sorted((_ROOT / 'docs/samples').glob('*.ini'))
_PAGES = (_ROOT / 'README.md', *sorted((_ROOT / 'docs').rglob('*.md')))
_COMMANDS_PAGE = _ROOT / 'docs/operating/commands.md'


def test_page_of_metrics_is_that_of_the_code() -> None:
    page = (_ROOT / METRICS_PAGE).read_text(encoding='utf-8')
    assert_that(page, Equals(format_metrics_page()))


def test_page_of_settings_holds_the_table_of_the_code() -> None:
    page = (_ROOT / SETTINGS_PAGE).read_text(encoding='utf-8')
    assert_that(page, Contains(format_settings_table()))


@pytest.mark.parametrize('sample', _SAMPLES, ids=lambda path: path.name)
def test_samples_are_valid(sample: Path) -> None:
    settings = read_ini(sample, Settings).unwrap()
    assert_that(sample.stem, Equals(settings.vm.roles.replace(',', '-')))


@pytest.mark.parametrize('code', list(ExitCode))
def test_exit_codes_are_documented(code: ExitCode) -> None:
    page = _COMMANDS_PAGE.read_text(encoding='utf-8')
    assert_that(page, Contains(f'\n| {code.value} |'))


@pytest.mark.parametrize('page', _PAGES, ids=lambda path: path.name)
def test_links_lead_to_files(page: Path) -> None:
    links = re.findall(
        r'\]\(([^)#:]+)\)',
        page.read_text(encoding='utf-8'),
    )
    missing = [link for link in links if not (page.parent / link).exists()]
    assert_that(missing, Equals([]))
