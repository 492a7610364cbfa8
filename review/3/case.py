"""A worker runs bookings and answers 503 at length: callers are promised
that they have not run."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib'))
from bed import (  # noqa: E402
    TROUBLE, Bed, CannotRun, Client, Worker, configuration, main, new_id)

REQUESTS = 60
BODY_BYTES = 300_000
PROMISES = (408, 421, 429, 503)


class InTrouble(Worker):
    """Runs each request, and then answers 503 without `Not-Executed`."""

    in_trouble = False

    async def run(self, request, writer):
        if not self.in_trouble:
            return await super().run(request, writer)
        await asyncio.sleep(0.05)
        self.record.write(
            f'{self.name} has run {request.header("attempt-id")}, answers 503'
            f' with {BODY_BYTES} bytes, without Not-Executed')
        self.respond(writer, 503, b'.' * BODY_BYTES, self.echo(request))
        await writer.drain()


async def case():
    async with Bed(__file__, entries=2) as bed:
        sick = await bed.add_worker(InTrouble(bed, 'app', 'i-a0', slots=6))
        for number in range(1, 4):
            await bed.add_worker(Worker(bed, 'app', f'i-a{number}', slots=6))
        await bed.start_all(configuration(1))
        await asyncio.sleep(5)
        sick.in_trouble = TROUBLE
        client = Client(bed.record, bed.entries[0].at(1))
        broken = good = 0
        for _ in range(REQUESTS):
            attempt = new_id()
            answer = await client.call('POST', '/book/1', [
                ('Attempt-Id', attempt), ('Deadline-Ms', '3000')],
                b'booking', timeout=4)
            ran = [worker.name for worker in bed.workers
                   for _, one in worker.runs if one == attempt]
            bed.record.write(f'client: {attempt}: {answer}, ran at {ran}')
            good += answer.status == 200 and answer.complete
            if answer.status in PROMISES and ran:
                broken += 1
                if broken == 1:
                    bed.record.say(
                        f'{attempt}, which {ran[0]} has run, is answered'
                        f' {answer.status}: not run, and never will be')
            await asyncio.sleep(0.1)
        client.close()
        bed.record.say(
            f'{REQUESTS} bookings, {good} answered well, {broken} answered with'
            ' a promise that they have not run, though they have')
        if TROUBLE and not any(bed.workers[0].runs):
            raise CannotRun('the worker in trouble got no request')
        return broken > 0


main(case)
