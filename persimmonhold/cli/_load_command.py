"""Implementation of the load command."""

import asyncio
import sys
from pathlib import Path

import msgspec

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.cli._exit_code import ExitCode
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.load import (
    RunParameters,
    RunReport,
    build_default_parameters,
    draw_plot,
    format_comparison,
    format_report,
    read_deployment,
    run_load,
)


def measure_deployment(
    deployment_path: str,
    seed: int,
    rate_per_s: float,
    duration_s: float,
    *,
    show_progress: bool,
) -> CommandOutput:
    """Send the load of a deployment's callers and return the report.

    The exit code is `audit_mismatch` if the report is not clean.
    """
    try:
        document = read_deployment(Path(deployment_path))
    except (OSError, msgspec.DecodeError) as error:
        return failure_output(_file_failure(deployment_path, error))
    parameters: RunParameters = build_default_parameters(
        document,
        seed,
        rate_per_s,
        duration_s,
    )
    is_progress_shown = show_progress and sys.stderr.isatty()
    report = asyncio.run(
        run_load(document, parameters, show_progress=is_progress_shown)
    )
    code = ExitCode.ok if report.is_clean else ExitCode.audit_mismatch
    return CommandOutput(
        text=format_report(report),
        document=report,
        exit_code=code,
    )


def write_report(
    output: CommandOutput, report_path: str, plot_path: str
) -> CommandOutput:
    """Write the report and the plot, each only if its path is not empty.

    Returns `output`, or a failure if a file cannot be written. Nothing is
    written if `output` has no report.
    """
    report = output.document
    if not isinstance(report, RunReport):
        return output
    try:
        if report_path:
            Path(report_path).write_bytes(msgspec.json.encode(report))
        if plot_path:
            draw_plot(report, Path(plot_path))
    except OSError as error:
        return failure_output(_file_failure(report_path or plot_path, error))
    return output


def compare_reports(first_path: str, second_path: str) -> CommandOutput:
    """Compare the reports in two files."""
    try:
        reports = [
            msgspec.json.decode(Path(path).read_bytes(), type=RunReport)
            for path in (first_path, second_path)
        ]
    except (OSError, msgspec.DecodeError) as error:
        return failure_output(
            _file_failure(f'{first_path}, {second_path}', error)
        )
    return CommandOutput(
        text=format_comparison(*reports),
        document=reports,
    )


def _file_failure(path: str, error: Exception) -> Failure:
    return Failure(
        kind=FailureKind.bad_settings,
        step='load',
        peer=path,
        detail=str(error),
    )
