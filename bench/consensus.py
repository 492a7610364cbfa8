"""Measures commits, latency, message sizes and snapshots of the log.

Run `python -m bench.consensus --seed N`. Replicas sync their files under
`--directory`; messages are delivered by the event loop of this process, so
the figures exclude the network. In mode `one by one`, the baseline of group
commit, each proposal has an append and a sync of its own; the number of
callers is the same.
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

from bench.consensus_group import ReplicaGroup
from bench.consensus_pure import measure_pure
from persimmonhold.replication import ReplicaNode

_Row: TypeAlias = dict[str, Any]
_Sample: TypeAlias = dict[str, float]
_Scenario: TypeAlias = Callable[
    [pathlib.Path, int],
    Coroutine[Any, Any, _Sample],
]
_VOTER_COUNTS: Final = (1, 3, 5)
_CALLER_COUNTS: Final = (1, 8, 64, 512)
_STATE_SIZES_BYTES: Final = (65_536, 1_048_576, 8_388_608, 33_554_432)
_PAYLOAD_BYTES: Final = 256
_MS_PER_S: Final = 1000


def main() -> None:
    """Print the selected tables and write their rows."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--repeats', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=0.5)
    parser.add_argument('--directory', default=None)
    parser.add_argument('--tables', default='commits,snapshots,pure')
    parser.add_argument('--output', default='')
    options = parser.parse_args()
    tables = {
        'commits': _build_commit_rows,
        'snapshots': _build_snapshot_rows,
        'pure': _build_pure_rows,
    }
    rows = {name: tables[name](options) for name in options.tables.split(',')}
    if options.output:
        document = {'seed': options.seed, **rows}
        encoded = msgspec.json.encode(document)
        pathlib.Path(options.output).write_bytes(encoded)


def _build_commit_rows(options: argparse.Namespace) -> list[_Row]:
    rows = []
    print('voters callers mode commits/s p50_ms p99_ms syncs/commit')
    for size in _VOTER_COUNTS:
        for callers in _CALLER_COUNTS:
            for is_grouped in (False, True):
                row = _build_commit_row(
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
                    *(_format_cell(row[name]) for name in _COMMIT_COLUMNS),
                )
    return rows


_COMMIT_COLUMNS: Final = ('commits_per_s', 'p50_ms', 'p99_ms', 'syncs')


def _build_commit_row(
    options: argparse.Namespace,
    size: int,
    callers: int,
    *,
    is_grouped: bool,
) -> _Row:
    samples = _run_samples(
        options,
        partial(_measure_commits, size, callers, options.seconds, is_grouped),
    )
    mode = 'grouped' if is_grouped else 'one by one'
    row: _Row = {'voters': size, 'callers': callers, 'mode': mode}
    for name in _COMMIT_COLUMNS:
        row[name] = _summarise([sample[name] for sample in samples])
    return row


async def _measure_commits(
    size: int,
    callers: int,
    seconds: float,
    is_grouped: bool,
    directory: pathlib.Path,
    seed: int,
) -> _Sample:
    """Measure commits with a fixed number of concurrent callers."""
    latencies_s: list[float] = []
    async with ReplicaGroup(directory, size, seed) as group:
        leader = await group.wait_for_leader()
        proposal_slots = asyncio.Semaphore(callers if is_grouped else 1)
        sync_count = leader.sync_count
        end_at = time.monotonic() + seconds
        await asyncio.gather(
            *(
                _propose_until(leader, proposal_slots, end_at, latencies_s)
                for _ in range(callers)
            ),
        )
        sync_count = leader.sync_count - sync_count
    latencies_s.sort()
    return {
        'commits_per_s': len(latencies_s) / seconds,
        'p50_ms': latencies_s[len(latencies_s) // 2] * _MS_PER_S,
        'p99_ms': latencies_s[len(latencies_s) * 99 // 100] * _MS_PER_S,
        'syncs': sync_count / len(latencies_s),
    }


async def _propose_until(
    leader: ReplicaNode,
    proposal_slots: asyncio.Semaphore,
    end_at: float,
    latencies_s: list[float],
) -> None:
    payload = bytes(_PAYLOAD_BYTES)
    while time.monotonic() < end_at:
        started_at = time.monotonic()
        async with proposal_slots:
            (await leader.propose(payload)).unwrap()
        latencies_s.append(time.monotonic() - started_at)


def _build_snapshot_rows(options: argparse.Namespace) -> list[_Row]:
    rows = []
    print('state_bytes total_ms longest_turn_ms quiet_turn_ms')
    for size in _STATE_SIZES_BYTES:
        samples = _run_samples(options, partial(_measure_snapshot, size))
        row: _Row = {'state_bytes': size}
        for name in ('total_ms', 'longest_turn_ms', 'quiet_turn_ms'):
            row[name] = _summarise([sample[name] for sample in samples])
        rows.append(row)
        print(size, *(_format_cell(one) for one in tuple(row.values())[1:]))
    return rows


async def _measure_snapshot(
    size: int,
    directory: pathlib.Path,
    seed: int,
) -> _Sample:
    """Measure a snapshot and the longest loop iteration during it."""
    state = random.Random(seed).randbytes(size)
    async with ReplicaGroup(directory, 1, seed, state, 50) as group:
        leader = await group.wait_for_leader()
        idle_iteration_s = await _measure_longest_iteration(lambda: True)
        for _ in range(40):
            await leader.propose(b'')
        proposals = [leader.propose(b'') for _ in range(20)]
        started_at = time.monotonic()
        iteration_task = asyncio.create_task(
            _measure_longest_iteration(
                lambda: leader.status().snapshot_index > 0
            ),
        )
        await asyncio.gather(*proposals)
        longest_iteration_s = await iteration_task
        total_s = time.monotonic() - started_at
    return {
        'total_ms': total_s * _MS_PER_S,
        'longest_turn_ms': longest_iteration_s * _MS_PER_S,
        'quiet_turn_ms': idle_iteration_s * _MS_PER_S,
    }


async def _measure_longest_iteration(is_finished: Callable[[], bool]) -> float:
    longest_s = 0.0
    iterations = 0
    while iterations < 100 or not is_finished():
        started_at = time.monotonic()
        await asyncio.sleep(0)
        longest_s = max(longest_s, time.monotonic() - started_at)
        iterations += 1
    return longest_s


def _build_pure_rows(options: argparse.Namespace) -> list[_Row]:
    rows = []
    print('voters us/event events/commit heartbeat_B reply_B entry_B')
    for size in _VOTER_COUNTS[1:]:
        samples = [
            measure_pure(size, seed)
            for seed in range(options.seed, options.seed + options.repeats)
        ]
        row: _Row = {'voters': size}
        for name in samples[0]:
            row[name] = _summarise([sample[name] for sample in samples])
        rows.append(row)
        print(size, *(_format_cell(one) for one in tuple(row.values())[1:]))
    return rows


def _run_samples(
    options: argparse.Namespace, scenario: _Scenario
) -> list[_Sample]:
    """Run a scenario once for each seed, each in a new directory."""
    samples = []
    for seed in range(options.seed, options.seed + options.repeats):
        with tempfile.TemporaryDirectory(dir=options.directory) as directory:
            coroutine = scenario(pathlib.Path(directory), seed)
            samples.append(asyncio.run(coroutine))
    return samples


def _summarise(figures: list[float]) -> dict[str, float]:
    return {
        'mean': statistics.mean(figures),
        'low': min(figures),
        'high': max(figures),
    }


def _format_cell(summary: dict[str, float]) -> str:
    return '{mean:.4g}[{low:.4g}..{high:.4g}]'.format(**summary)


if __name__ == '__main__':
    main()
