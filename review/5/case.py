"""Most entry machines are lost: no configuration is acknowledged again."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from bed import (  # noqa: E402
    TROUBLE, Bed, CannotRun, Process, Worker, configuration, main)

ACK_S = 4.0  # `ack-ms`
ENTRIES = 7  # as at hoogwerk-nl, with three machines of the core
LOST = 5
WAIT_S = 45.0


async def case():
    async with Bed(__file__, entries=ENTRIES) as bed:
        await bed.add_worker(Worker(bed, 'app', 'i-a0'))
        await bed.start_all(configuration(1))
        await asyncio.sleep(5)
        if TROUBLE:
            for entry in bed.entries[:LOST]:
                await entry.kill()
        began = bed.record.now()
        acked = None
        change = asyncio.create_task(
            bed.put_config(configuration(2), WAIT_S))
        # A new machine at another address takes the place of a lost one.
        fresh = Process(bed, 'edge-new', False, f'127.{bed.network}.2.99')
        bed.entries.append(fresh)
        await asyncio.sleep(1)
        await fresh.start()
        ready = None
        while bed.record.now() < began + WAIT_S and (
            ready is None or not change.done()
        ):
            if ready is None:
                answer = await bed.get(fresh.at(2), '/readyz')
                if answer.status == 200:
                    ready = bed.record.now() - began
            if change.done() and acked is None:
                acked = bed.record.now() - began
            await asyncio.sleep(0.1)
        if await change and acked is None:
            acked = bed.record.now() - began
        leader = await bed.find_leader()
        alive = sum(one.process.returncode is None for one in bed.cores)
        bed.record.say(
            f'{alive} of 3 machines of the core run, '
            f'{leader and leader.name} leads; version 2 was'
            f' {"never acknowledged" if acked is None else f"acknowledged after {acked:.1f} s"}'
            f' in {WAIT_S:.0f} s; the new entry was'
            f' {"never ready" if ready is None else f"ready after {ready:.1f} s"}')
        if alive < 3 or leader is None:
            raise CannotRun('the core was not stable')
        return acked is None or acked > ACK_S


main(case)
