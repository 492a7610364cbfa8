"""Measures the cost of one entry: latency, processor time and memory.

Callers, engine and entry share one process and one event loop. The same work
runs with and without the entry; the difference in processor time and memory
is attributed to the entry, including its sockets to callers and to the engine.

    python -m bench.entry --seed 1 --output /tmp/entry.json
"""

import argparse
import asyncio
import gc
import statistics
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Final, final

import msgspec

from bench.entry_harness import EntryHarness, RawCaller, connect_caller

_MS_PER_S: Final = 1000
_US_PER_S: Final = 1_000_000
_REQUIRED_REQUESTS_PER_S: Final = 140
_REQUIRED_TOKENS_PER_S: Final = 28_000
_REQUIRED_HEADROOM: Final = 3
_SHORT_STREAM_TOKENS: Final = 4
_LONG_STREAM_TOKENS: Final = 100
_STEP_S: Final = 0.01
_CPU_STREAMS: Final = 60
_LATENCY_REQUESTS: Final = 300
_OPEN_STREAMS: Final = 200


@final
class Round(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one repeat: through the entry minus direct."""

    added_p50_ms: float
    added_p99_ms: float
    request_us: float
    token_us: float
    stream_bytes: float

    @property
    def load(self) -> float:
        """The share of one core that the required load would use."""
        used_us = (
            _REQUIRED_REQUESTS_PER_S * self.request_us
            + _REQUIRED_TOKENS_PER_S * self.token_us
        )
        return used_us / _US_PER_S


async def _measure_latencies(
    harness: EntryHarness,
) -> tuple[list[float], list[float]]:
    """Return first-token latencies in seconds: direct, through the entry."""
    times: tuple[list[float], list[float]] = ([], [])
    for turn in range(2 * _LATENCY_REQUESTS):
        through_entry = turn % 2 == 1
        caller = await connect_caller(harness.address(through_entry))
        started = time.perf_counter()
        caller.send_request()
        await caller.first_token
        times[through_entry].append(time.perf_counter() - started)
        await caller.stream_end
        caller.close()
    return times


async def _measure_cpu_s(harness: EntryHarness, through_entry: bool) -> float:
    """Return the processor time of `_CPU_STREAMS` concurrent streams."""
    address = harness.address(through_entry)
    callers = [await connect_caller(address) for _ in range(_CPU_STREAMS)]
    started = time.process_time()
    for caller in callers:
        caller.send_request()
    await asyncio.gather(*(one.stream_end for one in callers))
    used_s = time.process_time() - started
    await _close_callers(callers)
    return used_s


async def _measure_entry_cpu_s(tokens: int, seed: int) -> float:
    """Return the processor time of the entry for `_CPU_STREAMS` streams."""
    async with EntryHarness(tokens, _STEP_S, seed) as harness:
        await _measure_cpu_s(harness, through_entry=True)
        through = await _measure_cpu_s(harness, through_entry=True)
        direct = await _measure_cpu_s(harness, through_entry=False)
        return through - direct


async def _measure_stream_bytes(seed: int) -> float:
    """Return the memory that the entry uses for one open stream."""
    async with EntryHarness(_LONG_STREAM_TOKENS, _STEP_S, seed) as harness:
        harness.engine.is_paused = True
        await _measure_open_bytes(harness, through_entry=True)
        through = await _measure_open_bytes(harness, through_entry=True)
        direct = await _measure_open_bytes(harness, through_entry=False)
        return (through - direct) / _OPEN_STREAMS


async def _measure_open_bytes(
    harness: EntryHarness, through_entry: bool
) -> int:
    gc.collect()
    tracemalloc.start()
    address = harness.address(through_entry)
    callers = [await connect_caller(address) for _ in range(_OPEN_STREAMS)]
    for caller in callers:
        caller.send_request()
    await asyncio.gather(*(one.first_token for one in callers))
    gc.collect()
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    await _close_callers(callers)
    return traced_bytes


async def _close_callers(callers: list[RawCaller]) -> None:
    for caller in callers:
        caller.close()
    await asyncio.sleep(0.1)


async def _measure_round(seed: int) -> Round:
    async with EntryHarness(2, 0.001, seed) as harness:
        await _measure_latencies(harness)
        direct, through = await _measure_latencies(harness)
    short = await _measure_entry_cpu_s(_SHORT_STREAM_TOKENS, seed)
    long = await _measure_entry_cpu_s(_LONG_STREAM_TOKENS, seed)
    token_s = (long - short) / (
        _CPU_STREAMS * (_LONG_STREAM_TOKENS - _SHORT_STREAM_TOKENS)
    )
    request_s = short / _CPU_STREAMS - _SHORT_STREAM_TOKENS * token_s
    return Round(
        added_p50_ms=_added_ms(direct, through, 0.5),
        added_p99_ms=_added_ms(direct, through, 0.99),
        request_us=request_s * _US_PER_S,
        token_us=token_s * _US_PER_S,
        stream_bytes=await _measure_stream_bytes(seed),
    )


def _added_ms(
    direct: list[float],
    through: list[float],
    quantile: float,
) -> float:
    index = int(quantile * (len(direct) - 1))
    return (sorted(through)[index] - sorted(direct)[index]) * _MS_PER_S


def _print_table(rounds: list[Round]) -> None:
    columns = ('added_p50_ms', 'added_p99_ms', 'request_us', 'token_us')
    for name in (*columns, 'stream_bytes', 'load'):
        figures = sorted(getattr(one, name) for one in rounds)
        median = statistics.median(figures)
        sys.stdout.write(
            f'{name:>14} median {median:10.3f}'
            f'  from {figures[0]:10.3f} to {figures[-1]:10.3f}\n',
        )
    load = statistics.median(one.load for one in rounds)
    sys.stdout.write(
        f'head-room at {_REQUIRED_REQUESTS_PER_S} requests and {_REQUIRED_TOKENS_PER_S} tokens'
        f' a second: {1 / load:.2f} (wanted {_REQUIRED_HEADROOM})\n',
    )


def main() -> None:
    """Run the repeats, print a table, optionally write JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--repeats', type=int, default=5)
    parser.add_argument('--output', type=Path)
    options = parser.parse_args()
    rounds = [
        asyncio.run(_measure_round(options.seed + repeat))
        for repeat in range(options.repeats)
    ]
    _print_table(rounds)
    if options.output:
        document = {'seed': options.seed, 'rounds': rounds}
        options.output.write_bytes(msgspec.json.encode(document))


if __name__ == '__main__':
    main()
