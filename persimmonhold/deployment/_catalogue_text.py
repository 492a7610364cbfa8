"""Formats and parses catalogue entries as INI text.

The name of a section is the kind and the name of its entry, as in
`[model tutor]`. Nested keys are dotted (`bounds.first_token_ms`); lists are
JSON arrays.
"""

import configparser
import io
from typing import Any

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.catalogue import CatalogueEntry
from persimmonhold.failures import Failure, FailureKind


def format_catalogue(entries: tuple[CatalogueEntry, ...]) -> str:
    """Return INI text with one section per entry."""
    parser = configparser.ConfigParser(interpolation=None)
    for entry in entries:
        document: dict[str, Any] = msgspec.to_builtins(entry)
        section = f'{document.pop("kind")} {document.pop("name")}'
        parser[section] = _flatten(document)
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue()


def parse_catalogue(
    text: str,
    source: str,
) -> Result[tuple[CatalogueEntry, ...], tuple[Failure, ...]]:
    """Return the entries of an INI text, or a failure per invalid section.

    Text that is not valid INI gives a single failure; `source` names the text
    in failures.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return Failed((
            _catalogue_failure(source, ' '.join(str(error).split())),
        ))
    entries: list[CatalogueEntry] = []
    failures: list[Failure] = []
    for section in parser.sections():
        try:
            entries.append(_parse_entry(section, dict(parser[section])))
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            failures.append(_catalogue_failure(source, f'[{section}] {error}'))
    if failures:
        return Failed(tuple(failures))
    return Success(tuple(entries))


def _flatten(document: dict[str, Any], prefix: str = '') -> dict[str, str]:
    flat: dict[str, str] = {}
    for key, value in document.items():
        if isinstance(value, dict):
            flat.update(_flatten(value, f'{prefix}{key}.'))
        elif isinstance(value, (list, tuple)):
            flat[f'{prefix}{key}'] = msgspec.json.encode(value).decode()
        elif isinstance(value, bool):
            flat[f'{prefix}{key}'] = 'true' if value else 'false'
        else:
            flat[f'{prefix}{key}'] = str(value)
    return flat


def _parse_entry(section: str, flat: dict[str, str]) -> CatalogueEntry:
    kind, _, name = section.partition(' ')
    document: dict[str, Any] = {'kind': kind, 'name': name.strip()}
    for key, text in flat.items():
        _set_nested_value(document, key, text)
    entry: CatalogueEntry = msgspec.convert(
        document,
        CatalogueEntry,
        strict=False,
    )
    return entry


def _set_nested_value(document: dict[str, Any], key: str, text: str) -> None:
    table = document
    *parents, last = key.split('.')
    for parent in parents:
        table = table.setdefault(parent, {})
    if text.startswith('['):
        table[last] = msgspec.json.decode(text)
    else:
        table[last] = text


def _catalogue_failure(source: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.bad_entry,
        step='read catalogue',
        peer=source,
        detail=detail,
    )
