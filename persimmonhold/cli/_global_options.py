"""Options that may precede or follow any command."""

import getpass
from typing import Final, final

import msgspec

_DEFAULT_OPERATORS: Final = '127.0.0.1:8081'
_JSON_OPTION: Final = '--json'
_OPTIONS_WITH_VALUE: Final = ('--operators', '--operator')


@final
class GlobalOptions(msgspec.Struct, frozen=True, kw_only=True):
    """A command line split into global options and other arguments.

    `control_addresses` holds `ip:port` addresses, separated by commas.
    """

    is_json: bool
    control_addresses: str
    operator_name: str
    command_arguments: tuple[str, ...]


def split_options(arguments: list[str]) -> GlobalOptions:
    """Separate the global options from the arguments of the command."""
    values: dict[str, str] = {}
    command_arguments: list[str] = []
    remaining = iter(arguments)
    for argument in remaining:
        name, has_value, text = argument.partition('=')
        if name in _OPTIONS_WITH_VALUE:
            values[name] = text if has_value else next(remaining, '')
        elif argument != _JSON_OPTION:
            command_arguments.append(argument)
    return GlobalOptions(
        is_json=_JSON_OPTION in arguments,
        control_addresses=values.get('--operators', _DEFAULT_OPERATORS),
        operator_name=values.get('--operator') or getpass.getuser(),
        command_arguments=tuple(command_arguments),
    )
