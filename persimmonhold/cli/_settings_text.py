"""Effective settings as INI text."""

import configparser
import io
from typing import Any

import msgspec


def settings_text(settings: msgspec.Struct) -> str:
    """Return every key with its effective value."""
    document: dict[str, dict[str, Any]] = msgspec.to_builtins(settings)
    parser = configparser.ConfigParser(interpolation=None)
    for section, keys in document.items():
        parser[section] = {
            key: str(value).lower() if isinstance(value, bool) else str(value)
            for key, value in keys.items()
        }
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue().rstrip()
