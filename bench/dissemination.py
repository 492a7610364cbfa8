"""Measures the time until all VMs hold a change, and its cost.

Run as `python -m bench.dissemination --seed N [--output FILE]`. A system
of VMs runs in one process and in virtual time, over a network that delays
each message by 0.5 to 1 ms. Processor time is that of this process, divided
by the number of VMs. The control log has no consensus, except where the
leader is killed: there consensus with files replicates it. With `--loopback`
nine VMs with consensus run in one process over pynng, in real time.
"""

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Final, final

import msgspec

from bench.loopback_system import LoopbackResult, measure_loopback
from bench.memory_system import MemorySystem
from bench.virtual_loop import run_in_virtual_time

_CONTROL_COUNT: Final = 5
_VM_COUNTS: Final = (9, 30, 100)
_IDLE_S: Final = 20.0
_CHANGES: Final = 40
_CHANGE_INTERVAL_S: Final = 0.5
_MISSED_CHANGES: Final = 1000
_LOSS: Final = 0.1
_MS_PER_S: Final = 1000
_FAILOVERS: Final = 10
_SETTLE_S: Final = 5.0
_KILL_DELAY_S: Final = 0.0021


@final
class SizeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one system; all times but processor time are virtual.

    A change is in force once every running VM holds it. The `rest` figures
    are those of an idle system.
    """

    vms: int
    in_force_ms_median: float
    in_force_ms_max: float
    in_force_lossy_ms_max: float
    in_force_failover_ms_median: float
    in_force_failover_ms_max: float
    restart_ms: float
    restart_bytes: int
    rest_messages_per_s: float
    rest_bytes_per_s: float
    rest_cpu_percent: float
    leader_bytes_per_s: float
    change_messages: float
    change_bytes: float
    change_cpu_us: float


@final
class UsageMeter:
    """Measures messages, bytes and processor time since its creation."""

    def __init__(self, system: MemorySystem) -> None:
        """Take the baseline of the measurement."""
        self._system = system
        self._baseline = self._read()

    def read(self) -> tuple[float, float, float]:
        """Return messages, bytes and processor seconds, each per VM."""
        now = self._read()
        count = len(self._system.names)
        messages, byte_count, cpu_s = (
            (after - before) / count
            for after, before in zip(now, self._baseline, strict=True)
        )
        return messages, byte_count, cpu_s

    def _read(self) -> tuple[float, float, float]:
        counts = [
            transport.counts
            for transport in self._system.network.transports.values()
        ]
        return (
            sum(count.sent_messages for count in counts),
            sum(count.sent_bytes for count in counts),
            time.process_time(),
        )


async def _time_change(system: MemorySystem) -> float:
    """Return the time from the proposal until every VM holds the change."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    change = await system.commit_change()
    await system.wait_for_index(change.index)
    return loop.time() - started_at


async def _time_changes(system: MemorySystem) -> list[float]:
    change_times_s: list[float] = []
    for _ in range(_CHANGES):
        change_times_s.append(await _time_change(system))
        await asyncio.sleep(_CHANGE_INTERVAL_S)
    return change_times_s


async def _time_failover(system: MemorySystem) -> float:
    """Return the time of a change whose leader is killed after the commit.

    The change is sent again to the next leader.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    command = system.build_next_change()
    leader = system.leader.log.status().vm
    change = asyncio.create_task(system.leader.commit_change(command))
    await asyncio.sleep(_KILL_DELAY_S)
    await system.kill(leader)
    change.cancel()
    successor = await system.wait_for_leader()
    repeated = (await successor.commit_change(command)).unwrap()
    await system.wait_for_index(repeated.index)
    elapsed_s = loop.time() - started_at
    await system.restart(leader)
    await asyncio.sleep(_SETTLE_S)
    return elapsed_s


async def _time_failovers(
    count: int,
    seed: int,
    directory: Path,
) -> list[float]:
    async with MemorySystem(count, _CONTROL_COUNT, seed, directory) as system:
        await asyncio.sleep(_SETTLE_S)
        return [await _time_failover(system) for _ in range(_FAILOVERS)]


async def _time_restart(system: MemorySystem) -> tuple[float, int]:
    """Return restart time and received bytes of a VM that missed changes."""
    loop = asyncio.get_running_loop()
    name = system.names[-1]
    await system.kill(name)
    for _ in range(_MISSED_CHANGES):
        await system.commit_change()
    started_at = loop.time()
    await system.restart(name)
    while name not in system.serving_vms():  # noqa: ASYNC110 # Virtual time.
        await asyncio.sleep(0.01)
    await system.wait_for_index(system.leader.state.view.index)
    received = system.network.transports[name].counts.received_bytes
    return loop.time() - started_at, received


async def _measure_system(
    count: int,
    seed: int,
    failover_times_s: list[float],
) -> SizeResult:
    async with MemorySystem(count, _CONTROL_COUNT, seed) as system:
        await asyncio.sleep(_IDLE_S)
        idle_meter = UsageMeter(system)
        leader = system.network.transports[system.group.leader].counts
        leader_bytes = leader.sent_bytes
        await asyncio.sleep(_IDLE_S)
        messages, byte_count, cpu_s = idle_meter.read()
        leader_bytes = leader.sent_bytes - leader_bytes
        change_meter = UsageMeter(system)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        change_times_s = await _time_changes(system)
        elapsed_s = loop.time() - started_at
        change_usage = change_meter.read()
        system.network.loss = _LOSS
        lossy_change_times_s = await _time_changes(system)
        system.network.loss = 0
        restart_s, restart_bytes = await _time_restart(system)
    idle_share = elapsed_s / _IDLE_S
    return SizeResult(
        vms=count,
        in_force_ms_median=statistics.median(change_times_s) * _MS_PER_S,
        in_force_ms_max=max(change_times_s) * _MS_PER_S,
        in_force_lossy_ms_max=max(lossy_change_times_s) * _MS_PER_S,
        in_force_failover_ms_median=statistics.median(failover_times_s)
        * _MS_PER_S,
        in_force_failover_ms_max=max(failover_times_s) * _MS_PER_S,
        restart_ms=restart_s * _MS_PER_S,
        restart_bytes=restart_bytes,
        rest_messages_per_s=messages / _IDLE_S,
        rest_bytes_per_s=byte_count / _IDLE_S,
        rest_cpu_percent=cpu_s / _IDLE_S * 100,
        leader_bytes_per_s=leader_bytes / _IDLE_S,
        change_messages=(change_usage[0] - messages * idle_share) / _CHANGES,
        change_bytes=(change_usage[1] - byte_count * idle_share) / _CHANGES,
        change_cpu_us=(change_usage[2] - cpu_s * idle_share) / _CHANGES * 1e6,
    )


def _print_table(
    results: list[SizeResult] | list[LoopbackResult],
) -> None:
    for field in results[0].__struct_fields__:
        columns = ''.join(
            f'{getattr(figures, field):>14.2f}' for figures in results
        )
        sys.stdout.write(f'{field:28}{columns}\n')


def _measure_size(count: int, seed: int) -> SizeResult:
    with tempfile.TemporaryDirectory() as directory:
        failover_times_s = run_in_virtual_time(
            _time_failovers(count, seed, Path(directory)),
        )
    return run_in_virtual_time(_measure_system(count, seed, failover_times_s))


def _measure_loopback(seed: int) -> LoopbackResult:
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(measure_loopback(Path(directory), seed))


def main() -> None:
    """Run the measurements, print the table and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--output', type=Path)
    parser.add_argument('--sizes', type=int, nargs='+', default=_VM_COUNTS)
    parser.add_argument('--loopback', action='store_true')
    arguments = parser.parse_args()
    results: list[SizeResult] | list[LoopbackResult]
    if arguments.loopback:
        results = [_measure_loopback(arguments.seed)]
    else:
        results = [
            _measure_size(count, arguments.seed) for count in arguments.sizes
        ]
    sys.stdout.write(f'seed {arguments.seed}\n')
    _print_table(results)
    if arguments.output:
        document = {'seed': arguments.seed, 'results': results}
        arguments.output.write_bytes(msgspec.json.encode(document))


if __name__ == '__main__':
    main()
