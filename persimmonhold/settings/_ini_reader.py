"""Reads INI files into validated settings types.

The type of a section declares the type, bounds, default and description of
each key. Unknown sections and keys are errors, and all errors of a file are
returned together.
"""

import configparser
from pathlib import Path
from typing import Any, TypeVar, get_type_hints

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind

_SettingsT = TypeVar('_SettingsT', bound=msgspec.Struct)


def read_ini(
    path: Path,
    settings_type: type[_SettingsT],
) -> Result[_SettingsT, tuple[Failure, ...]]:
    """Read and validate a settings file; return all its errors if it has any.

    An unreadable file is one error.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failed((_create_failure(str(path), str(error)),))
    return parse_ini(text, str(path), settings_type)


def parse_ini(
    text: str,
    source: str,
    settings_type: type[_SettingsT],
) -> Result[_SettingsT, tuple[Failure, ...]]:
    """Validate the text of a settings file; errors name it as `source`."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return Failed((_create_failure(source, ' '.join(str(error).split())),))
    return _convert_sections(parser, source, settings_type)


def _convert_sections(
    parser: configparser.ConfigParser,
    source: str,
    settings_type: type[_SettingsT],
) -> Result[_SettingsT, tuple[Failure, ...]]:
    """Convert parsed sections into `settings_type`, or return all errors."""
    declared = get_type_hints(settings_type, include_extras=True)
    failures = [
        _create_failure(source, f'[{section}]: unknown section')
        for section in parser.sections()
        if section not in declared
    ]
    sections: dict[str, dict[str, Any]] = {}
    for name, section_type in declared.items():
        texts = dict(parser[name]) if parser.has_section(name) else {}
        converted = _convert_section(texts, section_type)
        failures.extend(
            _create_failure(source, f'[{name}] {error}')
            for error in converted.errors
        )
        sections[name] = converted.values
    if failures:
        return Failed(tuple(failures))
    return Success(msgspec.convert(sections, settings_type))


class _ConvertedSection:
    """The converted values of a section by key, and its error messages."""

    __slots__ = ('errors', 'values')

    def __init__(self) -> None:
        self.errors: list[str] = []
        self.values: dict[str, Any] = {}


def _convert_section(
    texts: dict[str, str],
    section_type: type[msgspec.Struct],
) -> _ConvertedSection:
    converted = _ConvertedSection()
    fields = {
        field.name: field for field in msgspec.structs.fields(section_type)
    }
    for key, text in texts.items():
        field = fields.get(key)
        if field is None:
            converted.errors.append(f'{key}: unknown key')
        else:
            _convert_value(converted, key, text, field.type)
    for name, declared in fields.items():
        if declared.required and name not in texts:
            converted.errors.append(f'{name}: missing key')
    return converted


def _convert_value(
    converted: _ConvertedSection,
    key: str,
    text: str,
    key_type: Any,
) -> None:
    try:
        converted.values[key] = msgspec.convert(text, key_type, strict=False)
    except msgspec.ValidationError as error:
        converted.errors.append(f'{key}: {error}, found {text!r}')


def _create_failure(source: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.bad_settings,
        step='read settings',
        peer=source,
        detail=detail,
    )
