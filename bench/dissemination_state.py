"""Measures the cost of commands on the replicated control state.

Run as `python -m bench.dissemination_state --seed N [--output FILE]`. Times
are processor time. Memory is given as allocated bytes according to
tracemalloc, and as growth of the snapshot.
"""

import argparse
import gc
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Final, final

import msgspec

from persimmonhold.catalogue import ModelEntry
from persimmonhold.control.machine import (
    ClaimKey,
    Command,
    ControlStateMachine,
    EndClaim,
    PutEntry,
)
from persimmonhold.messages import CallOutcome

_CATALOGUE_SIZES: Final = (250, 2500, 7500)
_COMMAND_COUNT: Final = 2000
_BODY_BYTES: Final = 200
_US_PER_S: Final = 1e6


@final
class StateResult(msgspec.Struct, frozen=True, kw_only=True):
    """Mean cost of one command of a kind at one size of the catalogue."""

    entries: int
    kind: str
    apply_us: float
    memory_bytes: float
    snapshot_bytes: float


def _build_put(
    machine: ControlStateMachine, number: int, name: str
) -> PutEntry:
    entry = ModelEntry(
        name=name,
        owner='levy',
        version=str(number),
        weight_bytes=1,
        kv_floor_bytes=1,
    )
    catalogue = machine.state.catalogue
    return PutEntry(
        operator='bench',
        command_id=f'{number:036}',
        at_ms=1,
        expected_revision=catalogue.entry_revision(name),
        entry=entry,
        reason='bench',
    )


def _build_claim(number: int) -> ClaimKey:
    return ClaimKey(
        at_ms=1,
        caller='kiln',
        service='lodgements',
        key=f'{number:036}',
        content_digest=f'{number:064}',
        request_id=f'{number:024}',
        vm='vm1',
    )


def _build_end_claim(machine: ControlStateMachine, number: int) -> EndClaim:
    claim = _build_claim(number)
    scope = (claim.caller, claim.service, claim.key)
    return EndClaim(
        at_ms=1,
        claim=machine.state.claims.by_scope[scope].index,
        request_id=claim.request_id,
        outcome=CallOutcome(
            status=200,
            media_type='application/json',
            body=b'x' * _BODY_BYTES,
        ),
    )


def _apply(machine: ControlStateMachine, command: Command) -> float:
    encoded = msgspec.msgpack.encode(command)
    decoded = msgspec.msgpack.decode(encoded, type=Command)
    started_at = time.process_time()
    machine.apply(machine.state.index + 1, decoded)
    return time.process_time() - started_at


def _measure_command(
    machine: ControlStateMachine,
    kind: str,
    build_command: Callable[[int], Command],
) -> StateResult:
    gc.collect()
    tracemalloc.start()
    snapshot_bytes = len(machine.snapshot())
    allocated_before = tracemalloc.get_traced_memory()[0]
    for command_number in range(_COMMAND_COUNT):
        _apply(machine, build_command(command_number))
    gc.collect()
    allocated_bytes = tracemalloc.get_traced_memory()[0] - allocated_before
    snapshot_bytes = len(machine.snapshot()) - snapshot_bytes
    tracemalloc.stop()
    cpu_s = sum(
        _apply(machine, build_command(number + _COMMAND_COUNT))
        for number in range(_COMMAND_COUNT)
    )
    return StateResult(
        entries=len(machine.state.catalogue.entries),
        kind=kind,
        apply_us=cpu_s / _COMMAND_COUNT * _US_PER_S,
        memory_bytes=allocated_bytes / _COMMAND_COUNT,
        snapshot_bytes=snapshot_bytes / _COMMAND_COUNT,
    )


def _measure_catalogue_size(count: int, seed: int) -> list[StateResult]:
    machine = ControlStateMachine()
    rng = random.Random(seed)
    names = [f'model-{number}' for number in range(count)]
    for position, name in enumerate(names):
        _apply(machine, _build_put(machine, position - count, name))
    return [
        _measure_command(
            machine,
            'put',
            lambda number: _build_put(machine, number, rng.choice(names)),
        ),
        _measure_command(machine, 'claim', _build_claim),
        _measure_command(
            machine,
            'end claim',
            lambda number: _build_end_claim(machine, number),
        ),
    ]


def main() -> None:
    """Measure all catalogue sizes, print the table and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--output', type=Path)
    arguments = parser.parse_args()
    results = [
        cost
        for count in _CATALOGUE_SIZES
        for cost in _measure_catalogue_size(count, arguments.seed)
    ]
    sys.stdout.write(f'seed {arguments.seed}\n')
    for cost in results:
        sys.stdout.write(
            f'{cost.entries:6} entries  {cost.kind:10}'
            f' {cost.apply_us:8.1f} us {cost.memory_bytes:8.0f} B held'
            f' {cost.snapshot_bytes:8.0f} B in the snapshot\n',
        )
    if arguments.output:
        document = {'seed': arguments.seed, 'results': results}
        arguments.output.write_bytes(msgspec.json.encode(document))


if __name__ == '__main__':
    main()
