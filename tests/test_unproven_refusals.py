"""Tests of refusals by upstreams that have run the request, or may have.

Callers take 408, 425, 429 and 503 as a promise that their request did not run
and never will. Only an upstream can state that.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from persimmonhold.platform._names import NOT_RUN, REQUEST_ID, SIGNATURE
from persimmonhold.routes import RouteKind
from tests.forwarding_harness import (
    ROUTE_KINDS,
    ForwardingHarness,
    run_with_harness,
)
from tests.raw_upstream import FRAMINGS, RawConnection

_PROMISES: Final = frozenset((408, 421, 425, 429, 503))
# Below and above what an entry buffers.
_SIZES: Final = (0, 3000, 300_000)
_ENDLESS_PART: Final = b'.' * 65_536


async def _write_refusal(
    connection: RawConnection, status: int, framing: str, body: bytes
) -> None:
    """Write a signed refusal that does not state that nothing has run."""
    fields = {
        'content-type': 'text/plain',
        REQUEST_ID: connection.headers[REQUEST_ID],
        SIGNATURE: 's1',
    }
    if framing == 'length':
        fields['content-length'] = str(len(body))
    elif framing == 'chunks':
        fields['transfer-encoding'] = 'chunked'
    lines = [f'{name}: {text}' for name, text in fields.items()]
    head = '\r\n'.join((f'HTTP/1.1 {status} No', *lines, '', ''))
    await connection.write(head.encode('ascii'))
    await connection.write_body(body, framing)


async def _status_for(
    harness: ForwardingHarness,
    kind: RouteKind,
    resumable: bool,
    script: Callable[[RawConnection], Awaitable[None]],
    attempts: int = 1,
) -> int:
    """Return the status that a caller gets; 0 for a broken connection."""
    harness.set_route(kind, attempts, resumable, timeout_ms=2000)
    await harness.start_raw_upstream(script)
    answered = (await harness.send_request()).value_or(None)
    return 0 if answered is None else answered.head.status


# A long refusal reached the caller of a booking that had run.
@pytest.mark.parametrize('size', _SIZES)
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
@pytest.mark.parametrize('status', [408, 425, 429, 503])
def test_refusal_of_a_request_that_has_run_is_no_promise(
    status: int, kind: RouteKind, resumable: bool, framing: str, size: int
) -> None:
    async def refuse(connection: RawConnection) -> None:
        await _write_refusal(connection, status, framing, b'.' * size)
        if framing == 'chunks':
            await connection.write(b'0\r\n\r\n')

    async def scenario(harness: ForwardingHarness) -> None:
        got = await _status_for(harness, kind, resumable, refuse)
        assert_that(got, Equals(502))

    run_with_harness(scenario)


@pytest.mark.parametrize('is_cut', [False, True], ids=['endless', 'cut'])
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_refusal_that_does_not_end_is_answered_at_once(
    kind: RouteKind, resumable: bool, is_cut: bool
) -> None:
    async def refuse(connection: RawConnection) -> None:
        await _write_refusal(connection, 503, 'chunks', _ENDLESS_PART)
        while not is_cut:
            await connection.write_body(_ENDLESS_PART, 'chunks')

    async def scenario(harness: ForwardingHarness) -> None:
        clock = asyncio.get_running_loop().time
        started_at = clock()
        got = await _status_for(harness, kind, resumable, refuse)
        assert_that(got, Equals(502))
        assert_that(clock() - started_at, LessThan(1.0))

    run_with_harness(scenario)


@pytest.mark.parametrize('size', _SIZES)
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_refusal_that_states_that_nothing_ran_is_a_promise(
    kind: RouteKind, resumable: bool, size: int
) -> None:
    async def refuse(connection: RawConnection) -> None:
        fields = {
            NOT_RUN: '1',
            REQUEST_ID: connection.headers[REQUEST_ID],
            'content-length': str(size),
        }
        lines = [f'{name}: {text}' for name, text in fields.items()]
        head = '\r\n'.join(('HTTP/1.1 503 No', *lines, '', ''))
        await connection.write(head.encode('ascii') + b'.' * size)

    async def scenario(harness: ForwardingHarness) -> None:
        got = await _status_for(harness, kind, resumable, refuse)
        assert_that(got in _PROMISES, Is(True), str(got))

    run_with_harness(scenario)
