"""Plans and runs the load of a deployment, as the command `load` does."""

from pathlib import Path
from typing import Final

import msgspec

from persimmonhold.catalogue import (
    AdapterEntry,
    Bounds,
    CatalogueEntry,
    ModelEntry,
    ServiceClass,
)
from persimmonhold.deployment import (
    SHAPES,
    DeploymentDocument,
    DeploymentPlan,
)
from persimmonhold.load._entry_directory import EntryDirectory
from persimmonhold.load._load_run import LoadRun
from persimmonhold.load._planned_request import PlannedRequest
from persimmonhold.load._request_kind import RequestKind
from persimmonhold.load._run_parameters import RunParameters
from persimmonhold.load._run_report import RunReport, build_report
from persimmonhold.load._schedule import Schedule
from persimmonhold.load._standin_record import read_standin_records
from persimmonhold.load._traffic_mix import MIXES, TrafficMix
from persimmonhold.web import parse_address

_KIND_OF_CLASS: Final = (
    (ServiceClass.interactive, RequestKind.stream),
    (ServiceClass.check, RequestKind.check),
    (ServiceClass.batch, RequestKind.batch),
)


def read_deployment(path: Path) -> DeploymentDocument:
    """Read the file `deployment.json`.

    Raises `OSError` or `msgspec.DecodeError`.
    """
    return msgspec.json.decode(path.read_bytes(), type=DeploymentDocument)


async def run_load(
    document: DeploymentDocument,
    parameters: RunParameters,
    *,
    show_progress: bool,
) -> RunReport:
    """Send the planned requests to a deployment and report the results.

    The stand-ins are read before and after, to report the difference.
    """
    planned = _plan_requests(document, parameters)
    seeds = tuple(parse_address(vm.callers).unwrap() for vm in document.vms)
    directory = EntryDirectory(seeds, parameters.seed)
    before = await read_standin_records(document)
    load_run = LoadRun(planned, directory, show_progress=show_progress)
    outcomes = await load_run.run()
    after = await read_standin_records(document)
    return build_report(parameters, outcomes, before, after)


def _plan_requests(
    document: DeploymentDocument,
    parameters: RunParameters,
) -> tuple[PlannedRequest, ...]:
    mix = next(mix for mix in MIXES if mix.name == document.deployment)
    domains = sorted({vm.failure_domain for vm in document.vms})
    schedule = Schedule(
        mix, _targets_by_kind(mix), tuple(domains), parameters.seed
    )
    return schedule.plan_requests(parameters.rate_per_s, parameters.duration_s)


def build_default_parameters(
    document: DeploymentDocument,
    seed: int,
    rate_per_s: float,
    duration_s: float,
) -> RunParameters:
    """Build the parameters of a run with the default bounds."""
    return RunParameters(
        deployment=document.deployment,
        seed=seed,
        rate_per_s=rate_per_s,
        duration_s=duration_s,
        bounds=Bounds(),
    )


def _targets_by_kind(mix: TrafficMix) -> dict[RequestKind, tuple[str, ...]]:
    """Return the names of the models, adapters or services for each kind."""
    shape = next(shape for shape in SHAPES if shape.name == mix.name)
    entries = DeploymentPlan(shape, vm_count=1, port=1).build_catalogue()
    targets = {
        kind: _names_of_class(entries, service_class)
        for service_class, kind in _KIND_OF_CLASS
    }
    targets[RequestKind.call] = (mix.calls_service,)
    targets[RequestKind.lookup] = ('status',)
    return targets


def _names_of_class(
    entries: tuple[CatalogueEntry, ...],
    service_class: ServiceClass,
) -> tuple[str, ...]:
    """Return the names of a class's models, followed by its adapters."""
    class_entries = [
        entry
        for entry in entries
        if isinstance(entry, (ModelEntry, AdapterEntry))
        and entry.service_class is service_class
    ]
    models = [
        entry.name for entry in class_entries if isinstance(entry, ModelEntry)
    ]
    adapters = [
        entry.name
        for entry in class_entries
        if not isinstance(entry, ModelEntry)
    ]
    return (*models, *adapters)
