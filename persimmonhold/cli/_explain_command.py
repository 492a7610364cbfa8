"""Implementation of the commands that read log files of VMs."""

from pathlib import Path

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.cli._command_output import CommandOutput, failure_output
from persimmonhold.explanation import (
    LogLine,
    LossReport,
    RequestExplanation,
    parse_lines,
)
from persimmonhold.failures import Failure, FailureKind


def explain_request(request_id: str, log_paths: str) -> CommandOutput:
    """Explain a request from log files of VMs, separated by commas."""
    lines = _read_lines(log_paths)
    if isinstance(lines, Failed):
        return failure_output(lines.failure())
    explanation = RequestExplanation(request_id, lines.unwrap())
    return CommandOutput(
        text=explanation.format_text(),
        document={'request_id': request_id, 'cause': explanation.cause},
    )


def report_losses(log_paths: str) -> CommandOutput:
    """Sum up why requests were lost, from log files separated by commas."""
    lines = _read_lines(log_paths)
    if isinstance(lines, Failed):
        return failure_output(lines.failure())
    report = LossReport(lines.unwrap())
    return CommandOutput(
        text=report.format_text(),
        document={
            'answered': report.answered,
            'sent_in_vain': report.sent_in_vain,
            'losses': report.sums,
        },
    )


def _read_lines(log_paths: str) -> Result[list[LogLine], Failure]:
    """Return the lines of all files, or why one cannot be read."""
    lines: list[LogLine] = []
    for name in log_paths.split(','):
        path = Path(name)
        try:
            with path.open(encoding='utf-8', errors='replace') as log_file:
                lines.extend(parse_lines(path.stem, log_file))
        except OSError as error:
            return Failed(
                Failure(
                    kind=FailureKind.not_found,
                    step='read log',
                    peer=name,
                    detail=error.strerror or str(error),
                ),
            )
    return Success(lines)
