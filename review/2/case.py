"""One worker in trouble answers with a body without end: an entry hangs."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from bed import (  # noqa: E402
    APP_ROUTE, HOST, TROUBLE, Bed, CannotRun, Client, Worker, configuration,
    main, new_id)

TIMEOUT_MS = 2000
DEADLINE_MS = 6000
LATE_S = 0.5
LENGTH_S = 20.0
PER_S = 12
BLOCK = b'1\r\nx\r\n' * 20000


class InTrouble(Worker):
    """From a moment on, its answers do not end until the caller closes."""

    in_trouble = False
    floods = 0

    async def run(self, request, writer):
        if not self.in_trouble:
            return await super().run(request, writer)
        self.floods += 1
        lines = ['HTTP/1.1 200 OK', *(f'{n}: {v}' for n, v in self.sign(request)),
                 'Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        while True:
            writer.write(BLOCK)
            await writer.drain()


async def book(bed, results):
    attempt = new_id()
    client = Client(bed.record, bed.entries[0].at(1))
    began = bed.record.now()
    answer = await client.call('POST', '/short/1', [
        ('Attempt-Id', attempt), ('Deadline-Ms', str(DEADLINE_MS))],
        b'booking', timeout=DEADLINE_MS / 1000)
    took = bed.record.now() - began
    client.close()
    results.append((answer, took))
    bed.record.write(f'client: {attempt}: {str(answer)[:90]} after {took:.2f} s')


async def probe(bed, entry, longest):
    """Ask the entry whether it is ready, once a second, as the platform does."""
    while True:
        began = bed.record.now()
        await bed.get(entry.at(2), '/readyz', timeout=5.0)
        took = bed.record.now() - began
        longest[entry.name] = max(took, longest.get(entry.name, 0))
        await asyncio.sleep(1)


async def case():
    async with Bed(__file__, entries=2) as bed:
        sick = await bed.add_worker(InTrouble(bed, 'app', 'i-a0', slots=6))
        for number in range(1, 4):
            await bed.add_worker(Worker(bed, 'app', f'i-a{number}', slots=6))
        route = {'name': 'short', 'host': HOST, 'path-prefix': '/short/',
                 **APP_ROUTE, 'timeout-ms': TIMEOUT_MS}
        await bed.start_all(configuration(1, app_routes=[route]))
        await asyncio.sleep(5)
        sick.in_trouble = TROUBLE
        results, tasks, longest = [], [], {}
        probes = [asyncio.create_task(probe(bed, one, longest))
                  for one in bed.entries]
        for _ in range(int(LENGTH_S * PER_S)):
            tasks.append(asyncio.create_task(book(bed, results)))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)
        for one in probes:
            one.cancel()
        bed.record.say(
            'longest wait for /readyz: ' + ', '.join(
                f'{name} {took:.2f} s' for name, took in longest.items())
            + ' (all requests go to edge-1)')
        long = [one for one in results if one[1] > TIMEOUT_MS / 1000]
        late = [one for one in long if one[1] > TIMEOUT_MS / 1000 + LATE_S]
        good = sum(one.status == 200 and one.complete for one, _ in results)
        bed.record.say(
            f'{len(results)} requests, {good} answered well, {len(long)} past'
            f' timeout-ms, {len(late)} without a final answer {LATE_S} s later;'
            f' {sick.floods} answers without end')
        return len(late) >= 8 and len(late) > len(long) / 4


main(case)
