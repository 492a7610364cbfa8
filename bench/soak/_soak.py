"""Runs one seed of the soak."""

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import Final, final

import msgspec

from bench.soak._caller import Caller
from bench.soak._checks import find_violations
from bench.soak._configuration import ROUTES
from bench.soak._draw_call import draw_call
from bench.soak._eager_caller import EagerCaller
from bench.soak._plan import Plan
from bench.soak._soak_system import SoakSystem
from persimmonhold.platform import _names as names
from persimmonhold.web import fetch, parse_address

_CHECK_INTERVAL_S: Final = 1.0
_START_S: Final = 60.0
# Within this time after the last start everything is served again.
_RECOVERY_S: Final = 12.0
_LAST_CALLS_S: Final = 15.0
_PROBE_S: Final = 3.0
_POLL_S: Final = 0.2


@final
class Soak:
    """One run: load, the faults of a seed, and checks meanwhile.

    Settings and logs are kept in `directory`. `max_delay_s` is by how much
    the soak's own loop was late.
    """

    def __init__(self, plan: Plan, directory: Path) -> None:
        self.plan = plan
        self.directory = directory
        self.system = SoakSystem(plan, directory)
        self.record = self.system.record
        self.violations: set[str] = set()
        self.max_delay_s = 0.0
        self.probe_count = 0

    async def run(self) -> set[str]:
        """Run until everything is served again; return the violations."""
        self.directory.mkdir(parents=True)
        async with self.system:
            await self._check_served(_START_S)
            loop = asyncio.get_running_loop()
            monitor = loop.create_task(self._monitor())
            await self._run_load()
            await self._check_served(_RECOVERY_S)
            monitor.cancel()
            await asyncio.gather(monitor, return_exceptions=True)
        for path in sorted(self.directory.glob('*.log')):
            if b'Traceback' in path.read_bytes():
                self.record.failures.append(f'{path.name} has a traceback')
        self._check_record()
        ends = Counter(call.end.value for call in self.record.calls)
        statuses = Counter(call.status for call in self.record.calls)
        print(
            f'seed {self.plan.seed}: {len(self.plan.faults)} faults,'
            f' {len(self.record.stops)} stops, grace {self.plan.grace_s} s,'
            f' ends {dict(ends)}, statuses {dict(statuses)}, own loop'
            f' {self.max_delay_s:.2f} s late, {len(self.violations)} violations'
            f'{self._describe_streams()}'
        )
        return self.violations

    def _describe_streams(self) -> str:
        """Describe what became of the streams that callers took up."""
        streams = self.record.streams
        if not streams:
            return ''
        whole = sum(one.is_whole for one in streams)
        return f'; {whole} of {len(streams)} streams taken up became whole'

    async def _run_load(self) -> None:
        """Run callers and faults; returns when both have ended."""
        loop = asyncio.get_running_loop()
        callers = [
            self._create_caller(entry, number)
            for entry in self.plan.entries
            for number in range(self.plan.shape.callers_per_entry)
        ]
        eager = [
            self._create_eager_caller(entry, number)
            for entry in self.plan.entries
            for number in range(self.plan.shape.eager_callers)
        ]
        calling = [loop.create_task(caller.run()) for caller in callers]
        calling += [loop.create_task(one.run()) for one in eager]
        started_at = loop.time()
        applied = []
        for fault in self.plan.faults:
            await asyncio.sleep(started_at + fault.at_s - loop.time())
            applied.append(loop.create_task(self.system.apply(fault)))
        await asyncio.gather(*applied)
        for caller in callers:
            caller.is_over = True
        for one in eager:
            one.is_over = True
        await asyncio.wait_for(asyncio.gather(*calling), _LAST_CALLS_S)

    def _create_caller(self, entry: str, number: int) -> Caller:
        entries = self.plan.entries
        if number < self.plan.shape.pinned_callers:
            entries = (entry,)
        vms = {self.system.settings.address(vm, 1): vm for vm in entries}
        name = f'{self.plan.seed}-{entry}-{number}'
        return Caller(
            name,
            vms,
            self.record,
            shape=self.plan.shape,
            takes_up=self.plan.has_releases,
        )

    def _create_eager_caller(self, entry: str, number: int) -> EagerCaller:
        return EagerCaller(
            f'{self.plan.seed}-{entry}-eager-{number}',
            {self.system.settings.address(entry, 1): entry},
            self.record,
            self.plan.shape,
        )

    async def _monitor(self) -> None:
        """Check the record and the processes at intervals."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + _CHECK_INTERVAL_S
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.max_delay_s = max(self.max_delay_s, loop.time() - due_at)
            for vm in self.system.vms.values():
                if vm.has_ended_itself:
                    self.record.failures.append(f'{vm.name} ended itself')
                    await vm.start()
            self._check_record()

    def _check_record(self) -> None:
        """Print and keep the violations that are new."""
        found = set(find_violations(self.record))
        for violation in sorted(found - self.violations):
            print(
                f'seed {self.plan.seed}: {violation}; {self.directory}',
                flush=True,
            )
        self.violations |= found

    async def _check_served(self, timeout_s: float) -> None:
        """Wait until each entry serves each route; record those that do not."""
        served: dict[str, set[str]] = {vm: set() for vm in self.plan.entries}
        waits = [
            self._wait_until_served(vm, targets)
            for vm, targets in served.items()
        ]
        try:
            await asyncio.wait_for(asyncio.gather(*waits), timeout_s)
        except TimeoutError:
            for vm, targets in served.items():
                if len(targets) < len(ROUTES):
                    failure = f'{vm} serves only {sorted(targets)}'
                    self.record.failures.append(failure)

    async def _wait_until_served(self, entry: str, served: set[str]) -> None:
        address = parse_address(self.system.settings.address(entry, 1))
        rng = random.Random(entry)
        # Slow streams would outlast the probe.
        shape = msgspec.structs.replace(self.plan.shape, is_varied=False)
        while len(served) < len(ROUTES):
            self.probe_count += 1
            request_id = f'{self.plan.seed}-probe-{self.probe_count}'
            call = draw_call(rng, request_id, shape)
            while call.request.target in served:
                call = draw_call(rng, request_id, shape)
            fetched = await fetch(address.unwrap(), call.request, _PROBE_S)
            response = fetched.value_or(None)
            if response and response.head.header(names.SIGNATURE):
                served.add(call.request.target)
            await asyncio.sleep(_POLL_S)
