"""Makes the reference tables of the documents from the code.

Run as `python -m bench.reference_tables`: rewrites docs/METRICS.md and the
table in docs/operating/settings.md. A test holds both to the code.
"""

import sys
from pathlib import Path
from typing import Any, Final

import msgspec

from persimmonhold.failures import REFUSAL_STATUS
from persimmonhold.observability import metric
from persimmonhold.settings import Settings

METRICS_PAGE: Final = Path('docs/METRICS.md')
SETTINGS_PAGE: Final = Path('docs/operating/settings.md')
_TABLE_START: Final = '| section | key |'


def format_metrics_page() -> str:
    """Return the page of all metrics and refusal reasons."""
    lines = [
        '# Metrics',
        '',
        'Every entry and control VM answers `GET /metrics`. This page is',
        'made by `python -m bench.reference_tables`.',
        '',
        '| metric | kind | labels | meaning |',
        '|---|---|---|---|',
    ]
    for spec in metric.METRIC_TABLE:
        labels = ', '.join(spec.labels) or '-'
        lines.append(f'| `{spec.name}` | {spec.kind} | {labels} | {spec.doc} |')
    lines.extend((
        '',
        '## Refusal reasons',
        '',
        'The closed list of the label `reason`, with the HTTP status.',
        '',
        '| reason | status |',
        '|---|---|',
    ))
    lines.extend(
        f'| `{reason}` | {status} |'
        for reason, status in REFUSAL_STATUS.items()
    )
    return '\n'.join(lines) + '\n'


def format_settings_page(current_page: str) -> str:
    """Return the page of settings with its table made anew."""
    introduction = current_page.partition(_TABLE_START)[0]
    return f'{introduction}{format_settings_table()}'


def format_settings_table() -> str:
    """Return the table of every key."""
    lines = [
        f'{_TABLE_START} type and bounds | default | meaning |',
        '|---|---|---|---|---|',
    ]
    for section in msgspec.structs.fields(Settings):
        lines.extend(
            _format_setting_row(section.name, field)
            for field in msgspec.structs.fields(section.type)
        )
    return '\n'.join(lines) + '\n'


def _format_setting_row(section: str, field: Any) -> str:
    schema = msgspec.json.schema(field.type)
    default = 'required' if field.required else repr(field.default)
    return (
        f'| {section} | `{field.name}` | {_format_type_and_bounds(schema)} | {default} |'
        f' {schema["description"]} |'
    )


def _format_type_and_bounds(schema: dict[str, Any]) -> str:
    if 'enum' in schema:
        return ' or '.join(schema['enum'])
    parts = [str(schema.get('type', ''))]
    for key, sign in (
        ('minimum', '>='),
        ('exclusiveMinimum', '>'),
        ('maximum', '<='),
    ):
        if key in schema:
            parts.append(f'{sign} {schema[key]:g}')
    return ', '.join(parts)


def main() -> None:
    """Rewrite the pages."""
    METRICS_PAGE.write_text(format_metrics_page(), encoding='utf-8')
    current_page = SETTINGS_PAGE.read_text(encoding='utf-8')
    SETTINGS_PAGE.write_text(
        format_settings_page(current_page), encoding='utf-8'
    )
    sys.stdout.write(f'{METRICS_PAGE}\n{SETTINGS_PAGE}\n')


if __name__ == '__main__':
    main()
