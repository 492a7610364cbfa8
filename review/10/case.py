"""CONFIG: an invalid configuration is acknowledged once its version is overtaken."""

import asyncio
import json
from pathlib import Path

import harness
from harness import HOST, TROUBLE, System, Worker, build_response


class App(Worker):
    async def run(self, method, target, headers, body, writer, own):
        own.append(('Server-Signature', headers['attempt-id']))
        writer.write(build_response(200, b'ok', own))
        return True


def route(name, **changed):
    return {
        'name': name, 'host': HOST, 'path-prefix': f'/{name}/',
        'kind': 'idempotent', 'timeout-ms': 3000, 'target-latency-ms': 400,
        'priority': 2, 'service': 'app', 'max-attempts': 1, 'sticky': False,
        'resumable': False, **changed,
    }


def configuration(version, routes):
    return {
        'version': version,
        'routes': routes,
        'services': [{
            'name': 'app', 'health-path': '/healthz', 'max-conns': 100,
            'protocol': 'h1', 'tls': False,
        }],
        'limits': {
            'max-header-bytes': 16384, 'max-body-bytes': 4194304,
            'header-timeout-ms': 3000, 'idle-timeout-ms': 15000,
        },
    }


def build_bad(version):
    """Return the five invalid configurations that the pages name, encoded."""
    split = [{'service': 'app', 'weight': 0}]
    spoiled = {
        'unknown_service': [route('a', service='nobody')],
        'same_place': [route('a'), route('b', **{'path-prefix': '/a/'})],
        'no_weight': [route('a', service='', split=split)],
        'no_timeout': [route('a', **{'timeout-ms': 0})],
    }
    bodies = {
        name: json.dumps(configuration(version, routes)).encode()
        for name, routes in spoiled.items()
    }
    whole = json.dumps(configuration(version, [route('a')])).encode()
    bodies['cut_short'] = whole[: len(whole) // 2]
    return bodies


async def send(system, record, name, body):
    """Send a change as the operator does, until it has a clear answer."""
    for _ in range(20):
        status, address, answer = await system.operate('PUT', body)
        record.write(f'PUT {name} to {address}: {status} {answer[:200]!r}')
        if status == 200 or 400 <= status < 500:
            return status
        await asyncio.sleep(0.3)
    raise harness.CannotRun(f'{name} got no clear answer')


async def play(record):
    system = System(record, entry_count=2)
    broken = []
    try:
        workers = [App(system, 'app', *system.next_worker_place()) for _ in range(2)]
        await system.start(workers, configuration(7, [route('a')]))
        bad = build_bad(9)
        if not TROUBLE:
            # The same changes without what makes them invalid.
            good = json.dumps(configuration(9, [route('a')])).encode()
            bad = dict.fromkeys(bad, good)
        for name, body in bad.items():
            status = await send(system, record, f'{name} as version 9', body)
            record.say(f'{name}, newest version: {status}')
            if TROUBLE and status == 200:
                broken.append(name)
        newer = json.dumps(configuration(12, [route('a'), route('c')])).encode()
        status = await send(system, record, 'a valid version 12', newer)
        record.say(f'a valid change: {status}')
        for name, body in bad.items():
            status = await send(system, record, f'{name} as version 9', body)
            record.say(f'{name}, sent again: {status}')
            if TROUBLE and status == 200:
                broken.append(name)
        status, _, answer = await system.operate('GET')
        record.say(f'read back: {status}, version {json.loads(answer)["version"]}')
    finally:
        await system.stop()
    record.say(f'invalid and acknowledged: {broken}')
    return bool(broken)


harness.run_case(Path(__file__).parent, play)
