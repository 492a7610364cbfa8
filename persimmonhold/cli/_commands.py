"""The commands; fire derives the command line from this class."""

from pathlib import Path
from typing import Final, final

from returns.result import Failure as Failed

from persimmonhold.cli._catalogue_commands import CatalogueCommands
from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.cli._dev_command import run_dev
from persimmonhold.cli._explain_command import explain_request, report_losses
from persimmonhold.cli._format_settings import format_settings
from persimmonhold.cli._load_command import (
    compare_reports,
    measure_deployment,
    write_report,
)
from persimmonhold.cli._operator_client_runner import OperatorClientRunner
from persimmonhold.cli._quarantine_commands import (
    end_quarantine,
    show_quarantines,
)
from persimmonhold.cli._serve_command import run_vm
from persimmonhold.cli._standin_command import run_standin
from persimmonhold.cli._status_commands import (
    change_vm,
    show_claims,
    show_explanation,
    show_status,
)
from persimmonhold.cli._workspace_commands import show_workspaces
from persimmonhold.deployment import (
    SHAPES,
    DeploymentPlan,
    DeploymentWriter,
)
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.platform import run_on_platform
from persimmonhold.settings import Settings, read_ini

_DEFAULT_CALLER_PORT: Final = 8080
_DEFAULT_DEPLOYMENT_PORT: Final = 20_000
_MAX_VMS: Final = 200


@final
class Commands:
    """A serving system for many models that share fewer accelerators.

    Options of every command: --json prints a document in place of text;
    --operators ip:port,... names the control VMs (127.0.0.1:8081);
    --operator NAME is the operator that the history records.

    Exit codes: 0 done, 1 refused, 2 usage, 3 bad settings or file,
    4 control unreachable, 5 address in use or folder not writable,
    6 not in force in time, 7 audit mismatch, 8 damaged state.
    """

    def __init__(self, client_runner: OperatorClientRunner) -> None:
        """Create the commands; `client_runner` runs those that call control."""
        self._client_runner = client_runner
        self.catalogue = CatalogueCommands(client_runner)

    def dev(
        self,
        port: int = _DEFAULT_CALLER_PORT,
        directory: str = '',
    ) -> CommandOutput:
        """Run control, an entry and stand-in upstreams in one process.

        Args:
            port: Port for callers; operators connect to the next one.
            directory: Folder of the control state; by default a new
                temporary folder.
        """
        return run_dev(port, directory)

    def serve(self, settings: str) -> CommandOutput:
        """Run one VM in the roles of its settings until it is stopped.

        SIGTERM drains the VM: it leaves the directory of entries, finishes
        the requests in progress, transfers leadership and exits.

        Args:
            settings: Path of the INI file.
        """
        return run_vm(settings)

    def check(self, settings: str) -> CommandOutput:
        """Validate a settings file and print the effective settings.

        Args:
            settings: Path of the INI file.
        """
        loaded = read_ini(Path(settings), Settings)
        if isinstance(loaded, Failed):
            return failure_output(*loaded.failure())
        effective = loaded.unwrap()
        return CommandOutput(
            text=format_settings(effective), document=effective
        )

    def platform(self, settings: str = '') -> CommandOutput:
        """Run one VM on the users' platform until it is stopped.

        Args:
            settings: Path of the platform's settings file; by default the
                one that the platform names in the environment.
        """
        error = run_on_platform(settings)
        if error:
            return failure_output(
                Failure(
                    kind=FailureKind.bad_settings,
                    step='run on the platform',
                    detail=error,
                ),
            )
        return CommandOutput(text='stopped')

    def standin(self, settings: str) -> CommandOutput:
        """Run a stand-in engine or service until it is stopped.

        Args:
            settings: Path of the INI file.
        """
        return run_standin(settings)

    def init(
        self,
        deployment: str,
        directory: str,
        vms: int = 9,
        port: int = _DEFAULT_DEPLOYMENT_PORT,
    ) -> CommandOutput:
        """Write the files of a loopback deployment.

        Args:
            deployment: hoogwerk or levy.
            directory: Folder to write to.
            vms: Number of VMs. Five of them have the control role, or the
                largest odd number that is available.
            port: First port; each VM has its own loopback address.
        """
        shape = next(
            (candidate for candidate in SHAPES if candidate.name == deployment),
            None,
        )
        if shape is None or not 1 <= vms <= _MAX_VMS:
            return failure_output(_invalid_deployment_failure(deployment, vms))
        plan = DeploymentPlan(shape, vms, port)
        try:
            document = DeploymentWriter(plan, Path(directory)).write_files()
        except OSError as error:
            return failure_output(
                _unwritable_directory_failure(directory, error)
            )
        return CommandOutput(
            text=f'wrote {vms} VMs and {len(document.upstreams)} upstreams'
            f' to {directory}',
            document=document,
        )

    def load(
        self,
        deployment: str = '',
        seed: int = 1,
        rate: float = 20,
        duration_s: float = 20,
        output: str = '',
        plot: str = '',
        compare: str = '',
        progress: bool = True,
    ) -> CommandOutput:
        """Send the load of a deployment's callers and audit the responses.

        Args:
            deployment: Path of deployment.json.
            seed: Seed of the request schedule.
            rate: Mean number of requests per second.
            duration_s: Length of the run in seconds.
            output: File to write the JSON report to.
            plot: File to write a plot of attainment over time to.
            compare: Two report files to compare, separated by a comma.
            progress: Show a progress line if standard error is a terminal.
        """
        if compare:
            first, _, second = compare.partition(',')
            return compare_reports(first, second)
        result = measure_deployment(
            deployment,
            seed,
            rate,
            duration_s,
            show_progress=progress,
        )
        return write_report(result, output, plot)

    def status(self) -> CommandOutput:
        """Show the current revisions, copies, orders and memory use."""
        return self._client_runner.run_with_client(show_status)

    def explain(self, name: str, log: str = '') -> CommandOutput:
        """Show decisions about a model or an adapter, or explain a request.

        Args:
            name: Name of a model or adapter; with --log the ID of a request.
            log: Log files of VMs, separated by commas.
        """
        if log:
            return explain_request(str(name), log)
        return self._client_runner.run_with_client(
            lambda client: show_explanation(client, name),
        )

    def losses(self, log: str) -> CommandOutput:
        """Sum up why requests were lost or late, from log files.

        Args:
            log: Log files of VMs, separated by commas.
        """
        return report_losses(log)

    def drain(self, vm: str, undo: bool = False) -> CommandOutput:
        """Remove a VM from the directory of entries.

        Args:
            vm: Name of the VM.
            undo: Add the VM to the directory again.
        """
        action = 'undrain' if undo else 'drain'
        return self._client_runner.run_with_client(
            lambda client: change_vm(client, vm, action),
        )

    def forget(self, vm: str) -> CommandOutput:
        """Remove a permanently lost VM from the registered VMs.

        Args:
            vm: Name of the VM.
        """
        return self._client_runner.run_with_client(
            lambda client: change_vm(client, vm, 'forget'),
        )

    def claims(self) -> CommandOutput:
        """Show claims on idempotency keys whose requests may have run."""
        return self._client_runner.run_with_client(show_claims)

    def workspaces(self) -> CommandOutput:
        """Show the workspaces of a fleet, their limits and their keys."""
        return self._client_runner.run_with_client(show_workspaces)

    def quarantines(self, end: str = '') -> CommandOutput:
        """Show which requests are refused because they crash upstreams.

        Args:
            end: ID of a quarantine to end before its time.
        """
        if not end:
            return self._client_runner.run_with_client(show_quarantines)
        return self._client_runner.run_with_client(
            lambda client: end_quarantine(client, str(end)),
        )


def _invalid_deployment_failure(deployment: str, vms: int) -> Failure:
    names = ' or '.join(shape.name for shape in SHAPES)
    return Failure(
        kind=FailureKind.bad_settings,
        step='init',
        detail=f'expected {names} and 1 to {_MAX_VMS} VMs,'
        f' found {deployment!r} and {vms}',
    )


def _unwritable_directory_failure(directory: str, error: OSError) -> Failure:
    return Failure(
        kind=FailureKind.storage_unwritable,
        step='init',
        peer=directory,
        detail=error.strerror or str(error),
    )
