"""Entry point of the command line."""

import sys

import fire
import msgspec

from persimmonhold.cli._command_output import CommandOutput
from persimmonhold.cli._commands import Commands
from persimmonhold.cli._exit_code import ExitCode
from persimmonhold.cli._global_options import GlobalOptions, split_options
from persimmonhold.cli._operator_client_runner import OperatorClientRunner


def main() -> None:
    """Run the command named by the process arguments."""
    sys.exit(run_command(sys.argv[1:]))


def run_command(arguments: list[str]) -> int:
    """Run a command and return its exit code."""
    options = split_options(arguments)
    client_runner = OperatorClientRunner(
        options.control_addresses, options.operator_name
    )
    try:
        output = fire.Fire(
            Commands(client_runner),
            command=list(options.command_arguments),
            name='persimmonhold',
            serialize=_suppress_output,
        )
    except fire.core.FireExit as stop:
        return int(stop.code)
    if not isinstance(output, CommandOutput):
        return ExitCode.ok
    _write_output(output, options)
    return output.exit_code


def _write_output(output: CommandOutput, options: GlobalOptions) -> None:
    """Print the text of an output, or its document with --json."""
    rendered = output.text
    if options.is_json:
        document = output.document
        if document is None:
            document = {'exit_code': output.exit_code}
        rendered = msgspec.json.encode(document).decode()
    stream = sys.stderr if output.exit_code else sys.stdout
    if rendered:
        stream.write(f'{rendered}\n')
        stream.flush()


def _suppress_output(component: object) -> object:
    """Keep fire from printing a `CommandOutput`; other components pass."""
    return None if isinstance(component, CommandOutput) else component
