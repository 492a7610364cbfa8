"""LOST: streams of two versions are not taken up after a herd of processes died.

Two software versions of a service serve side by side, with three workers each. Four
of seven edge machines and the core machine that leads are killed at the same moment,
and are back two seconds later. Clients whose streams broke off take them up again.
Besides, some clients lose their own connection, also without the disruption.
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
STREAMS_PER_S = 9
TRAFFIC_S = 19.0
KILL_AT_S = 9.0
KILLED_ENTRIES = 4  # of 7; with the leader 5 of 10 machines
DOWN_S = 2.0
CONTACT_S = 3.0
FIRST_WAIT_S = 0.5  # before a try; each further one is twice as long
TRIES = 5
OWN_BREAK_SHARE = 0.15  # of the clients lose their own connection once
LEAST_STREAMS = 12  # by the rule


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


class Try:
    """One client attempt."""

    def __init__(self, entry, sent_at, last_id):
        self.entry, self.sent_at, self.last_id = entry, sent_at, last_id
        self.status = 0
        self.events = 0


class Stream:
    """One client's stream, over all its tries."""

    def __init__(self, system):
        self.system = system
        self.tries = []
        self.versions = []
        self.begun_as = ''
        self.last_id = 0
        self.is_complete = False
        self.breaks_after = EVENTS + 1
        if random.random() < OWN_BREAK_SHARE:
            self.breaks_after = random.randint(5, 20)

    async def play(self):
        ends_at = time.monotonic() + DEADLINE_S
        failed = set()
        wait = FIRST_WAIT_S
        for _ in range(TRIES):
            left = ends_at - time.monotonic()
            if left <= 0.3:
                return
            names = [e for e in self.system.entries if e.name not in failed]
            entry = random.choice(names or self.system.entries)
            retry_after = 0.0
            try:
                async with asyncio.timeout(left):
                    retry_after = await self.attempt(entry, left)
                if self.is_complete:
                    return
            except TimeoutError:
                return
            except (OSError, asyncio.IncompleteReadError, ValueError):
                failed = {entry.name}
            await asyncio.sleep(max(wait, retry_after))
            wait *= 2

    async def attempt(self, entry, left):
        host, _, port = entry.address('frontend').rpartition(':')
        one = Try(entry.name, time.monotonic(), self.last_id)
        self.tries.append(one)
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
            one.status = int(line.split(' ')[1])
            if one.status != 200:
                answer = await harness.read_body(reader, headers)
                self.system.record.write(
                    f'{attempt_id} at {entry.name} after {self.last_id}:'
                    f' {one.status} {answer[:80]!r}'
                )
                return float(headers.get('retry-after', '0'))
            partial = b''
            async for chunk in read_chunks(reader):
                *events, partial = (partial + chunk).split(b'\n\n')
                for event in events:
                    fields = dict(x.split(b': ', 1) for x in event.split(b'\n'))
                    number = int(fields[b'id'])
                    if number != self.last_id + 1:
                        raise harness.CannotRun(f'event {number} after {self.last_id}')
                    if not self.begun_as:
                        self.begun_as = attempt_id
                    one.events += 1
                    self.last_id = number
                    self.versions.append(fields[b'data'].split(b' ')[0].decode())
                    if number >= self.breaks_after:
                        self.breaks_after = EVENTS + 1
                        raise ConnectionError('the client lost its connection')
            self.is_complete = self.last_id == EVENTS
            return 0.0
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
    system = System(record, core_count=3, entry_count=7)
    streams = []
    killed = []
    in_touch_at = 0.0
    try:
        workers = [
            StreamWorker(
                system, 'llm', *system.next_worker_place(), version=version,
                models=['m1'], zone=zone,
            )
            for version in ('v1', 'v2')
            for zone in 'abc'
        ]
        await system.start(workers, configuration(7))
        record.say('all entries are ready')
        leader = await system.find_leader()
        began = time.monotonic()
        in_touch_at = began + KILL_AT_S + DOWN_S + CONTACT_S + 0.2

        async def kill():
            await asyncio.sleep(began + KILL_AT_S - time.monotonic())
            killed.extend([*system.entries[:KILLED_ENTRIES], leader])
            for machine in killed:
                machine.kill()
            record.say(f'killed: {", ".join(m.name for m in killed)} (it leads)')
            await asyncio.sleep(began + KILL_AT_S + DOWN_S - time.monotonic())
            for machine in killed:
                await machine.process.wait()
            await asyncio.gather(*(machine.start() for machine in killed))
            record.say('they are started again')

        changes = asyncio.create_task(kill() if TROUBLE else asyncio.sleep(0))
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
    return judge(record, streams, {m.name for m in killed}, in_touch_at)


def judge(record, streams, killed, in_touch_at):
    """Compare the share of streams that go on with that of those that begin.

    All machines are in touch from `in_touch_at` on, `contact-ms` after the last
    start; 0.2 s are added for the start itself.
    """
    taken_up = [0, 0]
    begun = [0, 0]
    for stream in streams:
        tries = '; '.join(
            f'{one.entry} after {one.last_id}: {one.status}, {one.events} events,'
            f' {one.sent_at - in_touch_at:+.2f} s'
            for one in stream.tries
        )
        record.write(
            f'stream {stream.begun_as}: versions'
            f' {",".join(dict.fromkeys(stream.versions))}, complete'
            f' {stream.is_complete}; {tries}'
        )
        calm = [one for one in stream.tries if one.sent_at >= in_touch_at]
        resumed = [one for one in calm if one.last_id]
        first = [one for one in calm if not one.last_id]
        for tried, counts in ((resumed, taken_up), (first, begun)):
            if tried:
                counts[0] += 1
                counts[1] += any(one.events for one in tried)
    joined = sum(len(set(one.versions)) > 1 for one in streams)
    record.say(
        f'{len(streams)} streams. At machines in touch after the kill: of'
        f' {taken_up[0]} streams that were taken up {taken_up[1]} went on, of'
        f' {begun[0]} new ones {begun[1]} began; {joined} hold two versions'
    )
    if begun[0] < LEAST_STREAMS or (TROUBLE and taken_up[0] < LEAST_STREAMS):
        raise harness.CannotRun('too few streams to judge')
    if taken_up[0] < LEAST_STREAMS:
        return False
    return taken_up[1] / taken_up[0] < 0.5 * begun[1] / begun[0]


harness.run_case(Path(__file__).parent, play)
