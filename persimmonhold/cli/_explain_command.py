"""Implementation of the explain command for requests."""

from pathlib import Path

from persimmonhold.cli._command_output import CommandOutput, failure_output
from persimmonhold.explanation import LogLine, RequestExplanation, parse_lines
from persimmonhold.failures import Failure, FailureKind


def explain_request(request_id: str, log_paths: str) -> CommandOutput:
    """Explain a request from log files of VMs, separated by commas."""
    lines: list[LogLine] = []
    for name in log_paths.split(','):
        path = Path(name)
        try:
            with path.open(encoding='utf-8', errors='replace') as log_file:
                lines.extend(parse_lines(path.stem, log_file))
        except OSError as error:
            return failure_output(
                Failure(
                    kind=FailureKind.not_found,
                    step='read log',
                    peer=name,
                    detail=error.strerror or str(error),
                ),
            )
    explanation = RequestExplanation(request_id, lines)
    return CommandOutput(
        text=explanation.format_text(),
        document={'request_id': request_id, 'cause': explanation.cause},
    )
