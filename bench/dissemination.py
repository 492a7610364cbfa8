"""How fast a change is in force everywhere, and what that costs.

Run as `python -m bench.dissemination --seed N [--output FILE]`. Whole
systems run within one process and in virtual time over a network that
delays each message by 0.5 to 1 ms; processor time is that of this process,
divided by the number of VMs. Control is a log without consensus, but where
the leader vanishes: there it is consensus with files. `--loopback` runs nine
VMs with consensus in one process over pynng, in real time, instead.
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

_CONTROL: Final = 5
_SIZES: Final = (9, 30, 100)
_REST_S: Final = 20.0
_CHANGES: Final = 40
_CHANGE_INTERVAL_S: Final = 0.5
_MISSED_CHANGES: Final = 1000
_LOSS: Final = 0.1
_MS: Final = 1000
_FAILOVERS: Final = 10
_CALM_S: Final = 5.0
_LOST_AFTER_S: Final = 0.0021


@final
class SizeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one system; times are virtual, processor time is not."""

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
class Meter:
    """What all transports have carried, and the processor time used."""

    def __init__(self, system: MemorySystem) -> None:
        """Start to measure."""
        self._system = system
        self._started = self._read()

    def read(self) -> tuple[float, float, float]:
        """Return messages, bytes and processor seconds for each VM."""
        now = self._read()
        count = len(self._system.names)
        messages, size, spent = (
            (after - before) / count
            for after, before in zip(now, self._started, strict=True)
        )
        return messages, size, spent

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
    """Return the time from the proposal to in force everywhere."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    change = await system.commit_change()
    await system.wait_for_index(change.index)
    return loop.time() - started_at


async def _time_changes(system: MemorySystem) -> list[float]:
    taken: list[float] = []
    for _ in range(_CHANGES):
        taken.append(await _time_change(system))
        await asyncio.sleep(_CHANGE_INTERVAL_S)
    return taken


async def _time_failover(system: MemorySystem) -> float:
    """Return the time of a change whose leader vanishes after the commit."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    command = system.build_next_change()
    leader = system.leader.log.status().vm
    change = asyncio.create_task(system.leader.commit_change(command))
    await asyncio.sleep(_LOST_AFTER_S)
    await system.kill(leader)
    change.cancel()
    successor = await system.wait_for_leader()
    again = (await successor.commit_change(command)).unwrap()
    await system.wait_for_index(again.index)
    taken = loop.time() - started_at
    await system.restart(leader)
    await asyncio.sleep(_CALM_S)
    return taken


async def _time_failovers(
    count: int,
    seed: int,
    directory: Path,
) -> list[float]:
    async with MemorySystem(count, _CONTROL, seed, directory) as system:
        await asyncio.sleep(_CALM_S)
        return [await _time_failover(system) for _ in range(_FAILOVERS)]


async def _time_restart(system: MemorySystem) -> tuple[float, int]:
    """Return the time until a VM serves that missed many changes."""
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


async def _measure(
    count: int,
    seed: int,
    failovers: list[float],
) -> SizeResult:
    async with MemorySystem(count, _CONTROL, seed) as system:
        await asyncio.sleep(_REST_S)
        rest = Meter(system)
        leader = system.network.transports[system.group.leader].counts
        leader_bytes = leader.sent_bytes
        await asyncio.sleep(_REST_S)
        messages, size, spent = rest.read()
        leader_bytes = leader.sent_bytes - leader_bytes
        changing = Meter(system)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        taken = await _time_changes(system)
        elapsed_s = loop.time() - started_at
        busy = changing.read()
        system.network.loss = _LOSS
        lossy = await _time_changes(system)
        system.network.loss = 0
        restart_s, restart_bytes = await _time_restart(system)
    share = elapsed_s / _REST_S
    return SizeResult(
        vms=count,
        in_force_ms_median=statistics.median(taken) * _MS,
        in_force_ms_max=max(taken) * _MS,
        in_force_lossy_ms_max=max(lossy) * _MS,
        in_force_failover_ms_median=statistics.median(failovers) * _MS,
        in_force_failover_ms_max=max(failovers) * _MS,
        restart_ms=restart_s * _MS,
        restart_bytes=restart_bytes,
        rest_messages_per_s=messages / _REST_S,
        rest_bytes_per_s=size / _REST_S,
        rest_cpu_percent=spent / _REST_S * 100,
        leader_bytes_per_s=leader_bytes / _REST_S,
        change_messages=(busy[0] - messages * share) / _CHANGES,
        change_bytes=(busy[1] - size * share) / _CHANGES,
        change_cpu_us=(busy[2] - spent * share) / _CHANGES * 1e6,
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
        failovers = run_in_virtual_time(
            _time_failovers(count, seed, Path(directory)),
        )
    return run_in_virtual_time(_measure(count, seed, failovers))


def _measure_loopback(seed: int) -> LoopbackResult:
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(measure_loopback(Path(directory), seed))


def main() -> None:
    """Measure, print the table, write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--output', type=Path)
    parser.add_argument('--sizes', type=int, nargs='+', default=_SIZES)
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
