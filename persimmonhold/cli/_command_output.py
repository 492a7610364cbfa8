"""Output and exit code of a command."""

from types import MappingProxyType
from typing import Final, final

import msgspec

from persimmonhold.cli._exit_code import ExitCode
from persimmonhold.failures import Failure, FailureKind

_EXIT_CODE_BY_FAILURE_KIND: Final = MappingProxyType({
    FailureKind.bad_settings: ExitCode.bad_settings,
    FailureKind.bad_entry: ExitCode.bad_settings,
    FailureKind.connect_failed: ExitCode.unreachable,
    FailureKind.connection_lost: ExitCode.unreachable,
    FailureKind.timed_out: ExitCode.unreachable,
    FailureKind.address_in_use: ExitCode.unavailable_resource,
    FailureKind.storage_unwritable: ExitCode.unavailable_resource,
    FailureKind.storage_damaged: ExitCode.damaged_state,
})


@final
class CommandOutput(msgspec.Struct, frozen=True, kw_only=True):
    """The output of a command as text and as a document, and its exit code.

    The output goes to standard output if the exit code is 0, otherwise to
    standard error. With --json the document is printed in place of the text.
    """

    text: str = ''
    document: object = None
    exit_code: ExitCode = ExitCode.ok


def failure_output(*failures: Failure) -> CommandOutput:
    """Return an output with one line per failure.

    The kind of the first failure determines the exit code.
    """
    lines = [f'persimmonhold: {failure.describe()}' for failure in failures]
    code = _EXIT_CODE_BY_FAILURE_KIND.get(failures[0].kind, ExitCode.refused)
    return CommandOutput(
        text='\n'.join(lines),
        document={'errors': failures},
        exit_code=code,
    )
