"""Requests through the platform adapter, over sockets on loopback."""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from persimmonhold.platform import _names as names
from tests.platform_fakes import (
    FakePlatform,
    make_configuration,
    until,
)

Scenario = Callable[[FakePlatform], Awaitable[None]]


def _run(directory: Path, scenario: Scenario) -> None:
    async def run_scenario() -> None:
        async with FakePlatform(directory) as platform:
            await scenario(platform)

    asyncio.run(run_scenario())


async def _is_ready(platform: FakePlatform, entry: str) -> bool:
    answer = await platform.send_request(
        platform.address(entry, 2),
        'GET',
        names.READY_PATH,
    )
    return answer is not None and answer.head.status == 200


async def _start(platform: FakePlatform) -> None:
    await platform.start_vms('c1', 'e1', 'e2')
    assert_that(
        await platform.put_configuration(make_configuration(3)), Equals(200)
    )
    await until(lambda: _is_ready(platform, 'e1'))
    await until(lambda: _is_ready(platform, 'e2'))


def test_plain_and_streamed_requests_are_served(tmp_path: Path) -> None:
    async def scenario(platform: FakePlatform) -> None:
        await platform.start_worker('app')
        await platform.start_worker('models', 'm1')
        await _start(platform)
        front = platform.address('e1', 1)
        plain = await platform.send_request(front, 'POST', '/app/x', b'\x00raw')
        assert plain is not None
        assert_that(plain.body, Equals(b'\x00raw'))
        streamed = await platform.send_request(
            front,
            'POST',
            '/chat/x',
            b'hello',
            model='m1',
            token_count='40,8',
        )
        assert streamed is not None
        assert_that(streamed.body.count(b'\n\n'), Equals(3))
        assert_that(streamed.head.header(names.SIGNATURE), Equals('signed'))

    _run(tmp_path, scenario)


def test_adapter_and_absent_model_are_loaded_on_demand(tmp_path: Path) -> None:
    async def scenario(platform: FakePlatform) -> None:
        worker = await platform.start_worker('models', 'm1')
        await _start(platform)
        front = platform.address('e1', 1)

        async def answered(model: str) -> bool:
            answer = await platform.send_request(
                front,
                'POST',
                '/chat/x',
                b'hello',
                model=model,
                token_count='40,8',
            )
            return answer is not None and answer.head.status == 200

        await until(lambda: answered('m1/a2'))
        await until(lambda: answered('m2'))
        fences = [order['fencing-token'] for order in worker.orders]
        assert_that(fences, Equals(sorted(set(fences))))
        assert_that(worker.models['m1'], Contains('a2'))

    _run(tmp_path, scenario)


def test_changed_configuration_is_applied_and_read_back(
    tmp_path: Path,
) -> None:
    async def scenario(platform: FakePlatform) -> None:
        await platform.start_worker('app')
        await _start(platform)
        changed = make_configuration(5)
        changed['routes'][0]['path-prefix'] = '/new/'
        assert_that(await platform.put_configuration(changed), Equals(200))
        for entry in ('e1', 'e2'):
            front = platform.address(entry, 1)
            moved = await platform.send_request(front, 'POST', '/new/x', b'1')
            gone = await platform.send_request(front, 'POST', '/app/x', b'1')
            assert moved is not None
            assert gone is not None
            statuses = (moved.head.status, gone.head.status)
            assert_that(statuses, Equals((200, 404)))
        older = make_configuration(4)
        assert_that(await platform.put_configuration(older), Equals(200))
        read = await platform.send_request(
            platform.address('c1', 3),
            'GET',
            names.CONFIGURATION_PATH,
        )
        assert read is not None
        assert_that(msgspec.json.decode(read.body), Equals(changed))

    _run(tmp_path, scenario)


def test_invalid_configuration_is_refused(tmp_path: Path) -> None:
    async def scenario(platform: FakePlatform) -> None:
        await platform.start_worker('app')
        await _start(platform)
        invalid = make_configuration(9)
        invalid['routes'][0]['timeout-ms'] = 0
        assert_that(await platform.put_configuration(invalid), Equals(400))
        valid = make_configuration(12)
        assert_that(await platform.put_configuration(valid), Equals(200))
        # The same change arrives again, now below the version in force.
        assert_that(await platform.put_configuration(invalid), Equals(400))
        answer = await platform.send_request(
            platform.address('e1', 1),
            'POST',
            '/app/x',
            b'1',
        )
        assert answer is not None
        assert_that(answer.head.status, Equals(200))

    _run(tmp_path, scenario)


@pytest.mark.parametrize(
    'change',
    [
        {'weights-mb': 1.0},
        {'slots': 0},
        {'loads-per-s': -1.0},
        {'models': 'two of a name'},
    ],
    ids=str,
)
def test_engine_that_cannot_run_its_models_is_refused(
    tmp_path: Path, change: dict[str, Any]
) -> None:
    """On 6ea0505 these were in force, and no request of a model was served."""

    async def scenario(platform: FakePlatform) -> None:
        await platform.start_worker('app')
        await _start(platform)
        invalid = make_configuration(9)
        engine = next(
            service['engine']
            for service in invalid['services']
            if 'engine' in service
        )
        if 'models' in change:
            engine['models'] = [engine['models'][0], engine['models'][0]]
        else:
            engine.update(change)
        assert_that(await platform.put_configuration(invalid), Equals(400))
        read = await platform.send_request(
            platform.address('c1', 3), 'GET', names.CONFIGURATION_PATH
        )
        assert read is not None
        held = msgspec.json.decode(read.body)
        assert_that(held['version'] < 9, Is(True))

    _run(tmp_path, scenario)


def test_worker_with_a_request_limit_gets_requests_by_permit(
    tmp_path: Path,
) -> None:
    async def scenario(platform: FakePlatform) -> None:
        worker = await platform.start_worker('app')
        worker.stated_limit = '20'
        await _start(platform)

        async def answered(entry: str) -> bool:
            front = platform.address(entry, 1)
            answer = await platform.send_request(front, 'POST', '/app/x')
            return answer is not None and answer.head.status == 200

        def has_heard_of_the_limit(entry: str) -> bool:
            forward = platform.vms[entry].entry
            assert forward is not None
            tracker = forward.hub.dispatcher.chooser.trackers[worker.name]
            return tracker.limit.confirmed.per_s == 20

        await until(lambda: answered('e1'))
        for entry in ('e1', 'e2'):
            await until(functools.partial(has_heard_of_the_limit, entry))
        for entry in ('e1', 'e2') * 4:
            await until(functools.partial(answered, entry))

    _run(tmp_path, scenario)


def test_leaving_worker_gets_no_new_requests(tmp_path: Path) -> None:
    async def scenario(platform: FakePlatform) -> None:
        leaving = await platform.start_worker('app')
        staying = await platform.start_worker('app')
        await _start(platform)
        platform.list_server.entries[0]['state'] = 'draining'
        entry = platform.vms['e1'].entry
        assert entry is not None
        trackers = entry.hub.dispatcher.chooser.trackers
        await until(lambda: trackers[leaving.name].facts.is_leaving)
        before = len(leaving.served)
        for _ in range(12):
            await platform.send_request(
                platform.address('e1', 1),
                'POST',
                '/app/x',
                b'1',
            )
        assert_that(len(leaving.served), Equals(before))
        assert_that(len(staying.served) >= 12, Is(True))

    _run(tmp_path, scenario)


def test_metrics_are_shown(tmp_path: Path) -> None:
    async def scenario(platform: FakePlatform) -> None:
        await platform.start_worker('app')
        await _start(platform)
        await platform.send_request(
            platform.address('e1', 1), 'POST', '/app/x', b'1'
        )
        shown = await platform.send_request(
            '127.77.2.1:9464', 'GET', '/metrics'
        )
        assert shown is not None
        assert_that(
            shown.body,
            Contains(b'persimmonhold_first_token_seconds'),
        )

    _run(tmp_path, scenario)


def test_draining_entry_leaves_the_directory_and_keeps_serving(
    tmp_path: Path,
) -> None:
    async def scenario(platform: FakePlatform) -> None:
        await platform.start_worker('app')
        await _start(platform)
        stopping = asyncio.create_task(platform.vms['e1'].drain())

        async def is_out() -> bool:
            answer = await platform.send_request(
                platform.address('e2', 4),
                'GET',
                f'{names.DIRECTORY_PATH}?name=x&zone=a',
            )
            return answer is not None and b'127.77.2.1' not in answer.body

        await until(is_out)
        assert_that(await _is_ready(platform, 'e1'), Is(False))
        answer = await platform.send_request(
            platform.address('e1', 1),
            'POST',
            '/app/x',
            b'1',
        )
        assert answer is not None
        assert_that(answer.head.status, Equals(200))
        await stopping

    _run(tmp_path, scenario)
