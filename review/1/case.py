"""A machine of the core stands still for 0.4 s: fencing tokens go back."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from bed import (  # noqa: E402
    TROUBLE, Bed, CannotRun, Client, Worker, configuration, main, new_id)

LENGTH_S = 50.0
# About the time for which the leader may act without hearing of the others.
FREEZES_S = (0.40, 0.41, 0.42, 0.43, 0.39)
THAW_S = 0.3  # `thaw-ms`: orders that arrive so soon after do not count


class Engine(Worker):
    async def run(self, request, writer):
        self.begin_stream(request, writer)
        for number in range(1, 4):
            await self.send_event(request, writer, number)
            await asyncio.sleep(0.03)
        self.end_stream(writer)
        await writer.drain()


async def send_requests(bed, until):
    """Ask for ever other adapters, so that orders are needed all the time."""
    number = 0
    client = Client(bed.record, bed.entries[0].at(1))
    while bed.record.now() < until:
        number += 1
        model = f'm{number % 2}/a{number % 40 + 1}'
        answer = await client.call('POST', '/chat/1', [
            ('Attempt-Id', new_id()), ('Model', model),
            ('Token-Count', '100,18'), ('Prefix-Hash', f'{number:x}:100'),
            ('Deadline-Ms', '12000')], b'question')
        bed.record.write(f'client: {model}: {answer}')
        await asyncio.sleep(0.05)
    client.close()


async def freeze(bed, until, thawed):
    while bed.record.now() < until - 5:
        await asyncio.sleep(4)
        leader = await bed.find_leader()
        if leader is None or not TROUBLE:
            continue
        leader.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZES_S[len(thawed) % len(FREEZES_S)])
        leader.signal(signal.SIGCONT)
        thawed.append(bed.record.now())


async def case():
    thawed = []
    async with Bed(__file__, entries=2) as bed:
        for number in range(3):
            await bed.add_worker(Engine(bed, 'tutor', f'i-t{number}', ['m0', 'm1']))
        await bed.start_all(configuration(1))
        await asyncio.sleep(4)
        until = bed.record.now() + LENGTH_S
        await asyncio.gather(
            send_requests(bed, until), freeze(bed, until, thawed))
        broken = 0
        count = 0
        for worker in bed.workers:
            highest = 0
            for at, order, status in worker.orders:
                count += 1
                fence = order['fencing-token']
                if any(0 <= at - one < THAW_S for one in thawed):
                    continue
                if fence < highest:
                    broken += 1
                    if broken <= 5:
                        bed.record.say(
                            f'at {at:.3f} {worker.name} gets an order with'
                            f' fence {fence} after one with {highest}')
                highest = max(highest, fence)
        bed.record.say(f'{count} orders, {len(thawed)} freezes of about 0.41 s,'
                       f' {broken} orders with a lower fencing token')
        if count < 20:
            raise CannotRun('too few orders')
        return broken > 0


main(case)
