"""Strict revocation: entries that may lack a change accept no keys."""

import asyncio
import math
from pathlib import Path
from types import MappingProxyType
from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.platform._names import AUTHORIZATION, RETRY_AFTER
from persimmonhold.platform._settings_file import read_settings_file
from persimmonhold.routes import RouteKind, Workspace, hash_key
from tests.forwarding_harness import ForwardingHarness, run_with_harness
from tests.platform_fakes import until
from tests.raw_upstream import PLAIN, RawConnection

_HEADERS: Final = MappingProxyType({AUTHORIZATION: 'Bearer k1'})
_WORKSPACE: Final = Workspace(name='first', key_hashes=(hash_key('k1'),))
_MAX_AGE_S: Final = 2.0
_SETTINGS: Final = """
node-name = "e1"
ip = "127.0.0.1"
zone = "a"
internal-ports = [1, 2]
seeds = ["127.0.0.1:1"]
[listen]
[cloud]
address = "127.0.0.1:3"
[bounds]
"""


async def _respond(connection: RawConnection) -> None:
    await connection.respond(PLAIN, 'length', b'done')


async def _send(
    harness: ForwardingHarness, headers: dict[str, str]
) -> tuple[int, bytes]:
    answered = (await harness.send_request(headers=headers)).unwrap()
    return answered.head.status, answered.body


@pytest.mark.parametrize(
    ('max_age_s', 'age_s', 'status'),
    [
        (_MAX_AGE_S, _MAX_AGE_S + 0.1, 503),
        (_MAX_AGE_S, math.inf, 503),
        (_MAX_AGE_S, _MAX_AGE_S - 0.1, 200),
        (math.inf, 1000.0, 200),
    ],
)
def test_key_is_refused_only_if_strict_and_without_recent_proof(
    max_age_s: float, age_s: float, status: int
) -> None:
    """Guards against a revoked key that works at a partitioned entry."""

    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_workspaces(_WORKSPACE)
        harness.services.keys.max_proof_age_s = max_age_s
        upstream = await harness.start_raw_upstream(_respond)
        harness.control.proof_age_s = age_s
        answered = await harness.send_request(headers=dict(_HEADERS))
        answer = answered.unwrap()
        assert_that(answer.head.status, Equals(status))
        if status == 503:
            assert_that(answer.body, Equals(b'{"error":"revocation_unsure"}'))
            retry_after_s = float(answer.head.header(RETRY_AFTER))
            assert_that(retry_after_s > 0, Equals(True))
        assert_that(len(upstream.requests), Equals(int(status == 200)))

    run_with_harness(scenario)


def test_requests_that_need_no_key_are_served_without_proof() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.services.keys.max_proof_age_s = _MAX_AGE_S
        harness.control.proof_age_s = _MAX_AGE_S + 1
        await harness.start_raw_upstream(_respond)
        assert_that(await _send(harness, {}), Equals((200, b'done')))
        harness.set_workspaces(_WORKSPACE)
        missing = await _send(harness, {})
        assert_that(missing, Equals((401, b'{"error":"unknown_key"}')))

    run_with_harness(scenario)


@pytest.mark.parametrize(
    ('may_have_run', 'status'), [(False, 503), (True, 502)]
)
def test_request_is_not_sent_again_without_recent_proof(
    may_have_run: bool, status: int
) -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(RouteKind.idempotent, attempts=2)
        harness.set_workspaces(_WORKSPACE)
        harness.services.keys.max_proof_age_s = _MAX_AGE_S

        async def script(connection: RawConnection) -> None:
            harness.control.proof_age_s = _MAX_AGE_S + 1
            if not may_have_run:
                await connection.refuse()

        for _ in range(2):
            await harness.start_raw_upstream(script)
        answered = await _send(harness, dict(_HEADERS))
        assert_that(answered[0], Equals(status))
        sent = [len(one.requests) for one in harness.raw_upstreams]
        assert_that(sum(sent), Equals(1))

    run_with_harness(scenario)


def test_waiting_request_is_not_sent_without_recent_proof() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_workspaces(_WORKSPACE)
        harness.services.keys.max_proof_age_s = _MAX_AGE_S
        release = asyncio.Event()

        async def script(connection: RawConnection) -> None:
            await release.wait()
            await _respond(connection)

        upstream = await harness.start_raw_upstream(script)
        sending = [
            asyncio.create_task(_send(harness, dict(_HEADERS)))
            for _ in range(9)  # one more than the slots of the upstream
        ]
        await until(
            lambda: bool(harness.hub.waiters) and len(upstream.requests) == 8
        )
        harness.control.proof_age_s = _MAX_AGE_S + 1
        release.set()
        statuses = [status for status, _ in await asyncio.gather(*sending)]
        assert_that(sorted(statuses), Equals([*(200 for _ in range(8)), 503]))
        assert_that(len(upstream.requests), Equals(8))

    run_with_harness(scenario)


@pytest.mark.parametrize(
    ('bounds', 'max_age_s', 'leader_proof_ms'),
    [
        ('', math.inf, 0),
        ('revoke-ms = 3000', math.inf, 0),
        ('strict-revocation = false\nrevoke-ms = 3000', math.inf, 0),
        ('strict-revocation = true\nrevoke-ms = 3000', 3.0, 1500),
        ('strict-revocation = true', 5.0, 2500),
        ('strict-revocation = true\nrevoke-ms = 1', 0.001, 100),
    ],
)
def test_settings_of_revocation(
    tmp_path: Path, bounds: str, max_age_s: float, leader_proof_ms: int
) -> None:
    path = tmp_path / 'e1.toml'
    path.write_text(_SETTINGS + bounds, encoding='utf-8')
    file = read_settings_file(path).unwrap()
    read = (file.bounds.max_proof_age_s, file.settings.peers.leader_proof_ms)
    assert_that(read, Equals((max_age_s, leader_proof_ms)))
