"""Runs the failure drills and prints whether each promise was held.

Run as `python -m bench.drills --deployment levy --seed 1`. Each drill runs
on a deployment of its own: nine VMs, five of which have the control role, and
stand-in upstreams.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final

import msgspec
from returns.result import Failure as Failed

from bench.drills._change_probe import ChangeProbe
from bench.drills._drill import DRILLS, Drill
from bench.drills._drill_result import (
    DrillResult,
    evaluate_promises,
    split_attainment,
)
from bench.drills._processes import DeploymentProcesses
from persimmonhold.catalogue import AdapterEntry, ModelEntry
from persimmonhold.load import (
    RunReport,
    build_default_parameters,
    format_report,
    run_load,
)
from persimmonhold.web import ClientRequest, fetch, parse_address

_OK: Final = 200
_REACHABILITY_TIMEOUT_S: Final = 20.0
_REACHABILITY_ATTEMPTS: Final = 3
_VM_COUNT: Final = 9


async def run_drill(
    drill: Drill,
    arguments: argparse.Namespace,
    directory: Path,
) -> DrillResult:
    """Run a drill on a new deployment under load.

    The failure is injected after a quarter of the load duration.
    """
    loop = asyncio.get_running_loop()
    async with DeploymentProcesses(
        arguments.deployment,
        _VM_COUNT,
        directory,
    ) as processes:
        probe = ChangeProbe(processes)
        probe_task = loop.create_task(probe.run())
        load_s = max(arguments.duration, drill.min_load_s)
        load_task = loop.create_task(_run_load(processes, arguments, load_s))
        start_s = arguments.duration / 4
        await asyncio.sleep(start_s)
        injected_at = loop.time()
        await drill.inject_failure(processes)
        end_s = start_s + loop.time() - injected_at
        report = await load_task
        unreachable = await _find_unreachable_models(processes)
        if probe_task.done():
            probe_task.result()
        probe_task.cancel()
        await asyncio.gather(probe_task, return_exceptions=True)
    return DrillResult(
        drill=drill.name,
        promises=evaluate_promises(drill, report, probe, unreachable),
        attainment=split_attainment(report, start_s, end_s),
        notes={**drill.notes, 'duration_s': end_s - start_s},
        report=report,
    )


async def _run_load(
    processes: DeploymentProcesses,
    arguments: argparse.Namespace,
    load_s: float,
) -> RunReport:
    run = build_default_parameters(
        processes.document,
        arguments.seed,
        arguments.rate,
        load_s,
    )
    return await run_load(processes.document, run, show_progress=False)


async def _find_unreachable_models(
    processes: DeploymentProcesses,
) -> tuple[str, ...]:
    """Send each model and adapter a request; return those that fail.

    A failed request is repeated on the next VMs before the model counts as
    unreachable.
    """
    names = [
        entry.name
        for entry in processes.plan.build_catalogue()
        if isinstance(entry, (ModelEntry, AdapterEntry))
    ]
    answered = await asyncio.gather(
        *(
            _is_model_reachable(processes, number, name)
            for number, name in enumerate(names)
        ),
    )
    return tuple(
        name for name, ok in zip(names, answered, strict=True) if not ok
    )


async def _is_model_reachable(
    processes: DeploymentProcesses, first_vm_number: int, name: str
) -> bool:
    vms = processes.document.vms
    request = ClientRequest(
        method='POST',
        target='/v1/completions',
        body=msgspec.json.encode({'model': name, 'max_tokens': 2}),
    )
    for attempt in range(_REACHABILITY_ATTEMPTS):
        vm = vms[(first_vm_number + attempt) % len(vms)]
        address = parse_address(vm.callers).unwrap()
        fetched = await fetch(address, request, _REACHABILITY_TIMEOUT_S)
        status = 0
        if not isinstance(fetched, Failed):
            status = fetched.unwrap().head.status
        if status == _OK:
            return True
        await asyncio.sleep(1)
    return False


def print_result(result: DrillResult) -> None:
    """Print attainment, the load report and the promises of a drill."""
    before, during, after = result.attainment
    lines = [
        f'\n== {result.drill}: attainment before {before:.3f}, during'
        f' {during:.3f}, after {after:.3f}; {result.notes}',
        format_report(result.report),
    ]
    lines.extend(
        f'{"held    " if promise.held else "NOT HELD"} {promise.name}:'
        f' {promise.figure}'
        for promise in result.promises
    )
    sys.stdout.write('\n'.join(lines) + '\n')
    sys.stdout.flush()


def main() -> None:
    """Run the selected drills; exits 1 unless all promises are held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--deployment', default='levy')
    parser.add_argument('--drill', default='')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--rate', type=float, default=15)
    parser.add_argument('--duration', type=float, default=30)
    parser.add_argument('--output', type=Path)
    parser.add_argument('--keep', type=Path)
    arguments = parser.parse_args()
    results = []
    for drill_type in DRILLS:
        if arguments.drill and arguments.drill not in drill_type.name:
            continue
        with tempfile.TemporaryDirectory(prefix='drill-') as folder:
            directory = arguments.keep or Path(folder)
            drill = drill_type()
            result = asyncio.run(run_drill(drill, arguments, directory))
        print_result(result)
        results.append(result)
    if arguments.output:
        arguments.output.write_bytes(msgspec.json.encode(results))
    held_count = sum(result.is_held for result in results)
    sys.stdout.write(f'\n{held_count} of {len(results)} drills held\n')
    sys.exit(0 if held_count == len(results) else 1)


if __name__ == '__main__':
    main()
