"""Strict revocation at an entry that loses control, over sockets."""

import asyncio
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from tests.platform_fakes import FakePlatform, make_configuration, until

_REVOKE_S = 1.5
_STRICT = f'strict-revocation = true\nrevoke-ms = {_REVOKE_S * 1000:.0f}\n'


async def _start(platform: FakePlatform) -> None:
    await platform.start_worker('app')
    await platform.start_vms('c1', 'e1')
    document = make_configuration(3)
    document['tenants'] = [{'name': 'first', 'api-keys': ['k1']}]
    assert_that(await platform.put_configuration(document), Equals(200))
    entry = platform.vms['e1'].entry
    assert entry is not None
    await until(lambda: entry.is_ready)


async def _send(platform: FakePlatform) -> tuple[int, bytes]:
    answer = await platform.send_request(
        platform.address('e1', 1),
        'POST',
        '/app/x',
        b'done',
        authorization='Bearer k1',
    )
    assert answer is not None
    return answer.head.status, answer.body


@pytest.mark.parametrize('is_strict', [True, False])
def test_key_is_refused_only_by_a_strict_entry_that_lost_control(
    tmp_path: Path, is_strict: bool
) -> None:
    """Guards the way from the settings to the age of the proof.

    An entry without control refuses all requests as isolated after 4 s.
    """

    async def scenario() -> None:
        async with FakePlatform(tmp_path) as platform:
            platform.settings.bounds = _STRICT if is_strict else ''
            await _start(platform)
            for _ in range(10):
                assert_that(await _send(platform), Equals((200, b'done')))
                await asyncio.sleep(_REVOKE_S / 5)
            await platform.vms.pop('c1').__aexit__(None, None, None)
            await asyncio.sleep(_REVOKE_S + 0.5)
            expected = (200, b'done')
            if is_strict:
                expected = (503, b'{"error":"revocation_unsure"}')
            assert_that(await _send(platform), Equals(expected))

    asyncio.run(scenario())
