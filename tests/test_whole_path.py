"""End-to-end tests of a system that runs in one process."""

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import EndsWith, Equals, HasLength

from persimmonhold.cli import DevSystem
from persimmonhold.standin import ServiceHandler
from persimmonhold.web import (
    Address,
    ClientRequest,
    FetchedResponse,
    encode_headers,
    fetch,
)

_ANY_PORT = Address('127.0.0.1', 0)
_TIMEOUT_S = 20.0


@pytest.fixture
def system(tmp_path: Path) -> DevSystem:
    return DevSystem(tmp_path, _ANY_PORT, _ANY_PORT)


async def _send(
    peer: Address,
    method: str,
    target: str,
    document: object = None,
    headers: dict[str, str] | None = None,
) -> FetchedResponse:
    request = ClientRequest(
        method=method,
        target=target,
        headers=encode_headers(headers or {}),
        body=b'' if document is None else msgspec.json.encode(document),
    )
    return (await fetch(peer, request, _TIMEOUT_S)).unwrap()


async def _await_copy(system: DevSystem, target: str) -> None:
    while all(
        copy.target != target for copy in system.control_link.view.copies
    ):
        await system.control_link.view_changed.wait()
        await asyncio.sleep(0)


def test_stream_from_a_model_ends_completely(system: DevSystem) -> None:
    async def scenario() -> FetchedResponse:
        async with system:
            await _await_copy(system, 'tutor')
            return await _send(
                system.caller_address,
                'POST',
                '/v1/chat/completions',
                {'model': 'tutor', 'stream': True, 'max_tokens': 3},
            )

    response = asyncio.run(scenario())
    assert_that(response.head.status, Equals(200))
    assert_that(response.body, EndsWith(b'data: [DONE]\n\n'))
    assert_that(response.body.count(b'\n\n'), Equals(4))


def test_service_call_runs_once(system: DevSystem) -> None:
    async def scenario() -> FetchedResponse:
        async with system:
            return await _send(
                system.caller_address,
                'POST',
                '/services/lodgements/returns/7',
                {'litres': 12},
            )

    response = asyncio.run(scenario())
    document: dict[str, Any] = msgspec.json.decode(response.body)
    handler = system.standins['lodgements'].handler
    assert isinstance(handler, ServiceHandler)
    assert_that(document['path'], Equals('/returns/7'))
    assert_that(handler.executions, HasLength(1))


def test_accepted_change_is_in_force_and_outlives_a_restart(
    tmp_path: Path,
) -> None:
    entry = {
        'kind': 'model',
        'name': 'levy-guide',
        'owner': 'levy',
        'version': '1',
        'weight_bytes': 1000,
        'kv_floor_bytes': 10,
    }
    headers = {
        'if-match': '"0"',
        'persimmonhold-operator': 'aoi',
        'persimmonhold-command-id': '1',
    }

    async def change() -> FetchedResponse:
        async with DevSystem(tmp_path, _ANY_PORT, _ANY_PORT) as running:
            await _send(
                running.operator_address,
                'PUT',
                '/catalogue/v1/entries/levy-guide',
                entry,
                headers,
            )
            await _await_copy(running, 'levy-guide')
            return await _send(running.caller_address, 'GET', '/v1/models')

    async def read_back() -> FetchedResponse:
        async with DevSystem(tmp_path, _ANY_PORT, _ANY_PORT) as running:
            return await _send(
                running.operator_address,
                'GET',
                '/catalogue/v1/entries/levy-guide',
            )

    models = msgspec.json.decode(asyncio.run(change()).body)
    assert_that(
        'levy-guide' in {model['id'] for model in models['data']},
        Equals(True),
    )
    stored = msgspec.json.decode(asyncio.run(read_back()).body)
    assert_that(stored['owner'], Equals('levy'))
