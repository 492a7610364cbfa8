"""ORDER: streams of two software versions are joined after all processes die.

Two versions serve one service side by side. The servers of the older one leave
one after the other, as in a release. Right after the last one has ended, all
processes of the system are killed; they are back 0.9 s later.
"""

import asyncio
import random
import time
import uuid
from pathlib import Path

import harness
from harness import TROUBLE, System, Worker, build_head, read_chunks, read_head

EVENTS = 49  # of a stream, as the sheet has it
GAP_S = 0.2  # the sheet allows pauses of 250 ms
DEADLINE_S = 15.0
STREAMS_PER_S = 7
TRAFFIC_S = 12.1
DRAIN_AT_S = (7.0, 8.0)  # the servers of v1 are `draining` from then on
LINGER_S = 4.0  # from then to their end; `drain-ms` is 3 s
KILL_AT_S = 12.2
DOWN_S = 0.9
TRIES = 6
FIRST_BACKOFF_S = 0.4  # after a failure; each further one is twice as long


class StreamWorker(Worker):
    async def run(self, method, target, headers, body, writer, own):
        attempt_id = headers['attempt-id']
        first = int(headers.get('last-event-id', '0')) + 1
        self.runs.append((attempt_id, first))
        self.record.write(f'{self.id} ({self.version}) runs {attempt_id} from {first}')
        writer.write(build_head(200, [
            *own,
            ('Server-Signature', f'{self.id}.{attempt_id}'),
            ('Weight-Versions', '1'),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]))
        for number in range(first, EVENTS + 1):
            event = f'id: {number}\ndata: {self.version} {self.id}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                raise ConnectionError
            await asyncio.sleep(GAP_S)
        writer.write(b'0\r\n\r\n')
        return True


class Stream:
    """One client's stream, over all its tries."""

    def __init__(self, system):
        self.system = system
        self.versions = []  # of the events in order
        self.ids = []
        self.begun_as = ''
        self.last_id = 0
        self.is_complete = False
        self.log = []

    async def play(self):
        ends_at = time.monotonic() + DEADLINE_S
        failed = set()
        backoff = FIRST_BACKOFF_S
        for _ in range(TRIES):
            left = ends_at - time.monotonic()
            if left <= 0.3:
                return
            names = [e for e in self.system.entries if e.name not in failed]
            entry = random.choice(names or self.system.entries)
            wait = backoff
            try:
                async with asyncio.timeout(left):
                    wait = await self.attempt(entry, left)
                if self.is_complete:
                    return
            except TimeoutError:
                return
            except (OSError, asyncio.IncompleteReadError, ValueError):
                failed = {entry.name}
                backoff *= 2
            await asyncio.sleep(min(wait, (ends_at - time.monotonic()) / 3))

    async def attempt(self, entry, left):
        host, _, port = entry.address('frontend').rpartition(':')
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(
                host, int(port), local_addr=(f'{self.system.network}.8.2', 0)
            )
        attempt_id = uuid.uuid4().hex[:16]
        resume = ''
        if self.last_id:
            resume = f'Last-Event-Id: {self.last_id}\r\nResumes: {self.begun_as}\r\n'
        try:
            writer.write((
                f'POST /review/x HTTP/1.1\r\nHost: {harness.HOST}\r\n'
                f'Attempt-Id: {attempt_id}\r\nModel: m1\r\n'
                f'Token-Count: 628,290\r\nPrefix-Hash: 5c1e07a2:119,{attempt_id[:8]}:509\r\n'
                f'Deadline-Ms: {int(left * 1000)}\r\n{resume}'
                'Content-Length: 4\r\n\r\nbody'
            ).encode())
            line, headers = await read_head(reader)
            status = int(line.split(' ')[1])
            self.log.append(f'{attempt_id} at {entry.name} after {self.last_id}: {status}')
            if status != 200:
                await harness.read_body(reader, headers)
                return float(headers.get('retry-after', '0.5'))
            partial = b''
            async for chunk in read_chunks(reader):
                *events, partial = (partial + chunk).split(b'\n\n')
                for event in events:
                    fields = dict(
                        one.split(b': ', 1) for one in event.split(b'\n')
                    )
                    number = int(fields[b'id'])
                    if not self.begun_as:
                        self.begun_as = attempt_id
                    self.last_id = number
                    self.ids.append(number)
                    self.versions.append(fields[b'data'].split(b' ')[0].decode())
            self.is_complete = self.last_id == EVENTS
            return 0.2
        finally:
            writer.transport.abort()


def configuration(version):
    return {
        'version': version,
        'routes': [{
            'name': 'review', 'host': harness.HOST, 'path-prefix': '/review/',
            'kind': 'streaming', 'timeout-ms': 15000, 'target-latency-ms': 1200,
            'priority': 1, 'service': 'llm', 'max-attempts': 2, 'sticky': True,
            'resumable': True, 'target-itl-ms': 250,
        }],
        'services': [{
            'name': 'llm', 'health-path': '/healthz', 'max-conns': 200,
            'protocol': 'h1', 'tls': False,
            'engine': {
                'slots': 24, 'kv-capacity': 113394, 'stride': 6,
                'weights-mb': 200000.0, 'adapter-slots': 8, 'loads-per-s': 2.9,
                'models': [{
                    'name': 'm1', 'weights-mb': 65100.0, 'load-s': 1.2,
                    'adapters': 0, 'adapter-mb': 12.0, 'warmup-s': 0.6,
                    'disk-load-s': 0.78,
                }],
            },
        }],
        'limits': {
            'max-header-bytes': 16384, 'max-body-bytes': 4194304,
            'header-timeout-ms': 3000, 'idle-timeout-ms': 15000,
        },
    }


async def play(record):
    system = System(record)
    streams = []
    try:
        old = [
            StreamWorker(
                system, 'llm', *system.next_worker_place(), version='v1',
                models=['m1'], zone=zone,
            )
            for zone in 'ab'
        ]
        new = [
            StreamWorker(
                system, 'llm', *system.next_worker_place(), version='v2',
                models=['m1'], zone=zone,
            )
            for zone in 'bc'
        ]
        await system.start([*old, *new], configuration(7))
        record.say('all entries are ready')
        began = time.monotonic()

        async def wait_until(at):
            await asyncio.sleep(max(0, began + at - time.monotonic()))

        async def leave(worker, drain_at):
            await wait_until(drain_at)
            worker.state = 'draining'
            system.listing.note()
            record.say(f'{worker.id} of v1 is draining')
            await wait_until(drain_at + LINGER_S)
            worker.is_listed = False
            system.listing.note()
            record.say(f'{worker.id} of v1 ends, with {worker.running} runs')
            worker.stop()

        async def kill_all():
            await wait_until(KILL_AT_S)
            status = await system.put(configuration(8))
            record.say(f'a change was answered {status}; all processes are killed')
            machines = system.cores + system.entries
            for machine in machines:
                machine.kill()
            await wait_until(KILL_AT_S + DOWN_S)
            for machine in machines:
                await machine.process.wait()
            await asyncio.gather(*(machine.start() for machine in machines))
            record.say('all processes are started again')

        changes = [leave(*one) for one in zip(old, DRAIN_AT_S)]
        if TROUBLE:
            changes.append(kill_all())
        changes = asyncio.gather(*changes)
        tasks = []
        while time.monotonic() < began + TRAFFIC_S:
            stream = Stream(system)
            streams.append(stream)
            tasks.append(asyncio.create_task(stream.play()))
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))
        await changes
        await asyncio.gather(*tasks)
    finally:
        await system.stop()
    return judge(record, streams)


def judge(record, streams):
    joined = [one for one in streams if len(set(one.versions)) > 1]
    for stream in streams:
        order = ','.join(dict.fromkeys(stream.versions))
        is_gapless = stream.ids == list(range(1, len(stream.ids) + 1))
        record.write(
            f'stream {stream.begun_as}: {len(stream.ids)} events of {order},'
            f' gapless {is_gapless}, complete {stream.is_complete}; '
            + '; '.join(stream.log)
        )
    begun = sum(bool(one.ids) for one in streams)
    resumed = sum(len(one.log) > 1 and bool(one.ids) for one in streams)
    record.say(
        f'{len(streams)} streams, {begun} begun, {resumed} tried again,'
        f' {len(joined)} hold events of two software versions (2 are allowed)'
    )
    if begun < 20:
        raise harness.CannotRun('too few streams have begun')
    return len(joined) > 2


harness.run_case(Path(__file__).parent, play)
