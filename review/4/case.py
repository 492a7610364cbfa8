"""A worker preempts streams while an entry stops: the entry cuts them."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from bed import (  # noqa: E402
    TROUBLE, Bed, CannotRun, Client, Worker, configuration, main, new_id)

STREAMS = 6
EVENTS = 12
GAP_S = 0.1
PAUSE_S = 1.5 if TROUBLE else 0.1  # a preempted stream; clients wait 2 s
GRACE_S = 8


class Engine(Worker):
    """Preempts each stream once, after its fourth event, and goes on."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.ended = {}
        self.broken_off = 0

    async def run(self, request, writer):
        first = int(request.header('last-event-id') or 0) + 1
        attempt = request.header('attempt-id')
        try:
            self.begin_stream(request, writer)
            for number in range(first, EVENTS + 1):
                if writer.is_closing():
                    raise ConnectionResetError
                await self.send_event(request, writer, number)
                await asyncio.sleep(PAUSE_S if number == 4 else GAP_S)
            self.end_stream(writer)
            await writer.drain()
            self.ended[attempt] = self.record.now()
        except OSError:
            self.record.write(f'{self.name}: {attempt}: the entry has closed')
        return True


async def stream(bed, client, results):
    attempt = new_id()
    began = bed.record.now()
    bed.record.write(f'client sends {attempt}')
    answer = await client.call('POST', '/chat/1', [
        ('Attempt-Id', attempt), ('Model', 'm0'),
        ('Token-Count', '100,72'), ('Prefix-Hash', f'{attempt[:8]}:100'),
        ('Deadline-Ms', '12000')], b'question')
    took = bed.record.now() - began
    events = answer.body.count(b'data:')
    results.append((answer, events, took))
    bed.record.write(
        f'client: {attempt}: {answer}, {events} events of {EVENTS},'
        f' after {took:.2f} s')


async def case():
    async with Bed(__file__, entries=2) as bed:
        holder = await bed.add_worker(Engine(bed, 'tutor', 'i-t0', ['m0']))
        await bed.add_worker(Engine(bed, 'tutor', 'i-t1', ['m1']))
        await bed.start_all(configuration(1))
        await asyncio.sleep(8)  # past `contact-ms`, with a fleet controller
        entry = bed.entries[0]
        clients = [Client(bed.record, entry.at(1)) for _ in range(STREAMS)]
        for client in clients:
            await client.connect()
        entry.signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        results = []
        await asyncio.gather(*(stream(bed, one, results) for one in clients))
        await asyncio.wait_for(entry.process.wait(), GRACE_S + 2)
        begun = [one for one in results if one[0].status == 200]
        cut = [one for one in begun if not one[0].complete]
        bed.record.say(
            f'{len(results)} streams at an entry that stops, {len(begun)}'
            f' begun, {len(cut)} cut by the entry;'
            f' {len(holder.ended)} runs ended well at the worker')
        if len(begun) < STREAMS:
            raise CannotRun('not all streams have begun')
        return bool(cut)


main(case)
