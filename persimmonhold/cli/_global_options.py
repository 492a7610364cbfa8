"""The options that stand before or after any command."""

import getpass
from typing import Final, final

import msgspec

_DEFAULT_OPERATORS: Final = '127.0.0.1:8081'
_JSON: Final = '--json'
_VALUED: Final = ('--operators', '--operator')


@final
class GlobalOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Output form, control addresses, operator, and what else was given."""

    is_json: bool
    operators: str
    operator: str
    command_arguments: tuple[str, ...]


def split_options(arguments: list[str]) -> GlobalOptions:
    """Take the global options out of the arguments of the process."""
    found: dict[str, str] = {}
    rest: list[str] = []
    remaining = iter(arguments)
    for argument in remaining:
        name, has_value, text = argument.partition('=')
        if name in _VALUED:
            found[name] = text if has_value else next(remaining, '')
        elif argument != _JSON:
            rest.append(argument)
    return GlobalOptions(
        is_json=_JSON in arguments,
        operators=found.get('--operators', _DEFAULT_OPERATORS),
        operator=found.get('--operator') or getpass.getuser(),
        command_arguments=tuple(rest),
    )
