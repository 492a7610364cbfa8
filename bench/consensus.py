"""Commits, latency, bytes and snapshots of the replicated log.

Run `python -m bench.consensus --seed N`. Files are real and synced under
`--directory`; messages pass on the loop of the one process, so the figures
leave out the network. `one by one` gives each proposal its own append and
sync, with as many callers: the baseline of group commit.
"""

import argparse
import asyncio
import pathlib
import random
import statistics
import tempfile
import time
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Final, TypeAlias

import msgspec

from bench.consensus_group import BenchGroup
from bench.consensus_pure import measure_pure
from persimmonhold.replication import ReplicaNode

_Row: TypeAlias = dict[str, Any]
_Sample: TypeAlias = dict[str, float]
_Scenario: TypeAlias = Callable[
    [pathlib.Path, int],
    Coroutine[Any, Any, _Sample],
]
_SIZES: Final = (1, 3, 5)
_CALLERS: Final = (1, 8, 64, 512)
_STATE_BYTES: Final = (65_536, 1_048_576, 8_388_608, 33_554_432)
_PAYLOAD_BYTES: Final = 256
_MS_PER_S: Final = 1000


def main() -> None:
    """Print every table and write the rows."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--repeats', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=0.5)
    parser.add_argument('--directory', default=None)
    parser.add_argument('--tables', default='commits,snapshots,pure')
    parser.add_argument('--output', default='')
    options = parser.parse_args()
    tables = {
        'commits': _commit_rows,
        'snapshots': _snapshot_rows,
        'pure': _pure_rows,
    }
    rows = {name: tables[name](options) for name in options.tables.split(',')}
    if options.output:
        document = {'seed': options.seed, **rows}
        encoded = msgspec.json.encode(document)
        pathlib.Path(options.output).write_bytes(encoded)


def _commit_rows(options: argparse.Namespace) -> list[_Row]:
    rows = []
    print('voters callers mode commits/s p50_ms p99_ms syncs/commit')
    for size in _SIZES:
        for callers in _CALLERS:
            for is_grouped in (False, True):
                row = _commit_row(
                    options,
                    size,
                    callers,
                    is_grouped=is_grouped,
                )
                rows.append(row)
                print(
                    size,
                    callers,
                    row['mode'],
                    *(_cell(row[name]) for name in _COMMIT_COLUMNS),
                )
    return rows


_COMMIT_COLUMNS: Final = ('commits_per_s', 'p50_ms', 'p99_ms', 'syncs')


def _commit_row(
    options: argparse.Namespace,
    size: int,
    callers: int,
    *,
    is_grouped: bool,
) -> _Row:
    samples = _sample(
        options,
        partial(_commits, size, callers, options.seconds, is_grouped),
    )
    mode = 'grouped' if is_grouped else 'one by one'
    row: _Row = {'voters': size, 'callers': callers, 'mode': mode}
    for name in _COMMIT_COLUMNS:
        row[name] = _spread([sample[name] for sample in samples])
    return row


async def _commits(
    size: int,
    callers: int,
    seconds: float,
    is_grouped: bool,
    directory: pathlib.Path,
    seed: int,
) -> _Sample:
    """Keep as many proposals under way as there are callers."""
    latencies: list[float] = []
    async with BenchGroup(directory, size, seed) as group:
        leader = await group.leader()
        turn = asyncio.Semaphore(callers if is_grouped else 1)
        syncs = leader.sync_count
        end = time.monotonic() + seconds
        await asyncio.gather(
            *(_call(leader, turn, end, latencies) for _ in range(callers)),
        )
        syncs = leader.sync_count - syncs
    latencies.sort()
    return {
        'commits_per_s': len(latencies) / seconds,
        'p50_ms': latencies[len(latencies) // 2] * _MS_PER_S,
        'p99_ms': latencies[len(latencies) * 99 // 100] * _MS_PER_S,
        'syncs': syncs / len(latencies),
    }


async def _call(
    leader: ReplicaNode,
    turn: asyncio.Semaphore,
    end: float,
    latencies: list[float],
) -> None:
    payload = bytes(_PAYLOAD_BYTES)
    while time.monotonic() < end:
        started = time.monotonic()
        async with turn:
            (await leader.propose(payload)).unwrap()
        latencies.append(time.monotonic() - started)


def _snapshot_rows(options: argparse.Namespace) -> list[_Row]:
    rows = []
    print('state_bytes total_ms longest_turn_ms quiet_turn_ms')
    for size in _STATE_BYTES:
        samples = _sample(options, partial(_snapshot, size))
        row: _Row = {'state_bytes': size}
        for name in ('total_ms', 'longest_turn_ms', 'quiet_turn_ms'):
            row[name] = _spread([sample[name] for sample in samples])
        rows.append(row)
        print(size, *(_cell(one) for one in tuple(row.values())[1:]))
    return rows


async def _snapshot(
    size: int,
    directory: pathlib.Path,
    seed: int,
) -> _Sample:
    """Time a snapshot, and the longest that it held the loop up."""
    state = random.Random(seed).randbytes(size)
    async with BenchGroup(directory, 1, seed, state, 50) as group:
        leader = await group.leader()
        quiet = await _longest_turn(lambda: True)
        for _ in range(40):
            await leader.propose(b'')
        proposals = [leader.propose(b'') for _ in range(20)]
        started = time.monotonic()
        watch = asyncio.create_task(
            _longest_turn(lambda: leader.status().snapshot_index > 0),
        )
        await asyncio.gather(*proposals)
        longest = await watch
        total = time.monotonic() - started
    return {
        'total_ms': total * _MS_PER_S,
        'longest_turn_ms': longest * _MS_PER_S,
        'quiet_turn_ms': quiet * _MS_PER_S,
    }


async def _longest_turn(is_over: Callable[[], bool]) -> float:
    longest = 0.0
    turns = 0
    while turns < 100 or not is_over():
        before = time.monotonic()
        await asyncio.sleep(0)
        longest = max(longest, time.monotonic() - before)
        turns += 1
    return longest


def _pure_rows(options: argparse.Namespace) -> list[_Row]:
    rows = []
    print('voters us/event events/commit heartbeat_B reply_B entry_B')
    for size in _SIZES[1:]:
        samples = [
            measure_pure(size, seed)
            for seed in range(options.seed, options.seed + options.repeats)
        ]
        row: _Row = {'voters': size}
        for name in samples[0]:
            row[name] = _spread([sample[name] for sample in samples])
        rows.append(row)
        print(size, *(_cell(one) for one in tuple(row.values())[1:]))
    return rows


def _sample(options: argparse.Namespace, scenario: _Scenario) -> list[_Sample]:
    """Run a scenario in a new directory for each seed."""
    samples = []
    for seed in range(options.seed, options.seed + options.repeats):
        with tempfile.TemporaryDirectory(dir=options.directory) as directory:
            started = scenario(pathlib.Path(directory), seed)
            samples.append(asyncio.run(started))
    return samples


def _spread(figures: list[float]) -> dict[str, float]:
    return {
        'mean': statistics.mean(figures),
        'low': min(figures),
        'high': max(figures),
    }


def _cell(spread: dict[str, float]) -> str:
    return '{mean:.4g}[{low:.4g}..{high:.4g}]'.format(**spread)


if __name__ == '__main__':
    main()
