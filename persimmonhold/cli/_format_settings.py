"""Formats effective settings as INI text."""

import configparser
import io
from typing import Any

import msgspec


def format_settings(settings: msgspec.Struct) -> str:
    """Return INI text with the effective value of every key."""
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
