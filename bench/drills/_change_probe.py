"""Changes the catalogue during a drill and polls every entry for it."""

import asyncio
import time
from typing import Any, Final, final

import msgspec

from bench.drills._processes import DeploymentProcesses, read_json
from persimmonhold.operations import OperatorClient
from persimmonhold.web import parse_address

_CHANGE_INTERVAL_S: Final = 0.5
_POLL_INTERVAL_S: Final = 0.1
_OWNER_PREFIX: Final = 'owner-'


@final
class ChangeProbe:
    """Writes rising numbers to a catalogue entry and reads them from all VMs.

    The number is part of the owner of the first adapter. A change is in
    force on a VM once the VM lists its number. The listed number must never
    fall, and each accepted one must reach every running VM within seconds.
    """

    def __init__(self, processes: DeploymentProcesses) -> None:
        """Create a probe of a running deployment.

        Times are those of the monotonic clock, in seconds.
        """
        self.accepted_at: dict[int, float] = {}
        self.seen_at: dict[tuple[str, int], float] = {}
        self.answered_at: dict[str, list[float]] = {}
        self.highest_shown: dict[str, int] = {}
        self.revert_count = 0
        self.unaccepted_count = 0
        self._processes = processes
        self._entry = processes.plan.build_first_adapter()
        self._revision = 0

    async def run(self) -> None:
        """Change the entry and poll all VMs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._change_periodically())
            for vm in self._processes.document.vms:
                group.create_task(self._poll_entry(vm.name, vm.callers))

    def compute_max_delay_s(self) -> float:
        """Return the longest time that a VM showed an outdated number.

        It is measured from the acceptance of the change to the last poll
        that a VM answered with an older number; polls without an answer do
        not count.
        """
        max_delay_s = 0.0
        for number, accepted in self.accepted_at.items():
            for name in self.highest_shown:
                max_delay_s = max(
                    max_delay_s, self._compute_delay_s(name, number, accepted)
                )
        return max_delay_s

    def count_lagging_vms(self) -> int:
        """Return how many VMs are over one number behind the last accepted."""
        newest = max(self.accepted_at, default=0)
        return sum(
            max(0, newest - highest) > 1
            for highest in self.highest_shown.values()
        )

    def _compute_delay_s(
        self, name: str, number: int, accepted_at: float
    ) -> float:
        """Return how long VM `name` still answered without the change."""
        seen = min(
            (
                at
                for (vm, shown), at in self.seen_at.items()
                if vm == name and shown >= number
            ),
            default=None,
        )
        stale = [
            at
            for at in self.answered_at.get(name, ())
            if at > accepted_at and (seen is None or at < seen)
        ]
        return max(stale) - accepted_at if stale else 0

    async def _change_periodically(self) -> None:
        addresses = tuple(
            parse_address(address).unwrap()
            for address in self._processes.operators
        )
        client = OperatorClient(addresses, 'drill')
        number = 0
        while True:
            number += 1
            await self._put_change(client, number)
            await asyncio.sleep(_CHANGE_INTERVAL_S)

    async def _put_change(self, client: OperatorClient, number: int) -> None:
        entry = msgspec.structs.replace(
            self._entry,
            owner=f'{_OWNER_PREFIX}{number}',
        )
        headers = {
            'if-match': f'"{self._revision}"',
            'persimmonhold-command-id': f'probe-{number}',
        }
        target = f'/catalogue/v1/entries/{self._entry.name}'
        reply = await client.send_change('PUT', target, headers, entry)
        document: dict[str, Any] = reply.map(
            lambda answer: answer.document if answer.status < 300 else {},
        ).value_or({})
        if 'entry_revision' in document:
            self._revision = int(document['entry_revision'])
            self.accepted_at[number] = time.monotonic()
            return
        self.unaccepted_count += 1
        current = await client.read(target)
        found = current.map(lambda answer: answer.document).value_or({})
        self._revision = int(found.get('revision', self._revision))

    async def _poll_entry(self, name: str, callers: str) -> None:
        while True:
            sent_at = time.monotonic()
            document = await read_json(callers, '/v1/models')
            if document is not None:
                self._record_response(name, document, sent_at)
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _record_response(
        self,
        name: str,
        document: dict[str, Any],
        sent_at: float,
    ) -> None:
        shown = self._parse_shown_number(document)
        self.answered_at.setdefault(name, []).append(sent_at)
        if shown < self.highest_shown.get(name, 0):
            self.revert_count += 1
        if shown > self.highest_shown.get(name, -2):
            self.highest_shown[name] = shown
            self.seen_at[name, shown] = sent_at

    def _parse_shown_number(self, document: dict[str, Any]) -> int:
        """Return the listed number.

        It is 0 before the first change, and -1 if the entry is not listed.
        """
        owners = {model['id']: model['owned_by'] for model in document['data']}
        prefix, _, number = owners.get(self._entry.name, '').partition('-')
        if f'{prefix}-' == _OWNER_PREFIX:
            return int(number)
        return 0 if prefix else -1
