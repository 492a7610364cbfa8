"""Prompts that crash upstreams, over sockets: evidence and refusals."""

import asyncio
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.quarantine import (
    PROOF_S,
    ObservedCrash,
    QuarantinedPrompt,
    QuarantineUpdate,
    fingerprint_request,
)
from persimmonhold.routes import RouteKind
from tests.forwarding_harness import ForwardingHarness
from tests.raw_upstream import (
    EVENT_STREAM,
    FRAMINGS,
    PLAIN,
    RawConnection,
    RawScript,
)

_PROMPT: Final = MappingProxyType({'prefix-hash': 'f0:800,BAD:10,own:3'})
_EVENT: Final = b'id: 1\ndata: x\n\n'


def _run(scenario: Callable[[ForwardingHarness], Awaitable[None]]) -> None:
    async def run_scenario() -> None:
        async with ForwardingHarness() as harness:
            harness.set_route(RouteKind.stream)
            await scenario(harness)

    asyncio.run(run_scenario())


def _update(harness: ForwardingHarness, update: QuarantineUpdate) -> None:
    harness.hub.apply_quarantine(update)


def test_quarantined_prompt_is_refused_and_counts_in_no_demand() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        async def script(connection: RawConnection) -> None:
            await connection.respond(EVENT_STREAM, 'chunks', _EVENT)

        upstream = await harness.start_raw_upstream(script)
        quarantined = (QuarantinedPrompt(('bad',), 300),)
        _update(
            harness,
            QuarantineUpdate(
                term=1, version=1, confirmed=0, quarantined=quarantined
            ),
        )
        refused = (await harness.send_request(headers=dict(_PROMPT))).unwrap()
        assert_that(refused.head.status, Equals(503))
        assert_that(refused.body, Equals(b'{"error":"quarantined_prompt"}'))
        left_s = float(refused.head.header('retry-after'))
        assert_that(290 < left_s <= 300, Equals(True))
        assert_that(harness.hub.build_report().demand, Equals(()))
        sound = {'prefix-hash': 'f0:800,m1:10,own:3'}
        served = (await harness.send_request(headers=sound)).unwrap()
        assert_that(served.head.status, Equals(200))
        assert_that(len(upstream.requests), Equals(1))

    _run(scenario)


@pytest.mark.parametrize('is_reset', [True, False])
@pytest.mark.parametrize('framing', ['', *FRAMINGS])
def test_attempt_cut_before_an_event_is_evidence_against_its_shared_parts(
    framing: str, is_reset: bool
) -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        async def script(connection: RawConnection) -> None:
            if framing:
                await connection.write_head(EVENT_STREAM, framing, 100)
            if is_reset:
                connection.reset()

        await harness.start_raw_upstream(script)
        await harness.send_request(headers=dict(_PROMPT))
        evidence = harness.hub.build_evidence()
        assert evidence is not None
        crashes = [
            ObservedCrash(
                one.upstream, one.born_ms, one.request_id, one.parts, 0
            )
            for one in evidence.crashes
        ]
        fingerprints = fingerprint_request(
            'POST', 'a.example', '/chat/x?y=1', '127.0.0.1', b'question'
        )
        expected = ObservedCrash('r0', 0, 'r1', (*fingerprints, 'f0', 'bad'), 0)
        assert_that(crashes, Equals([expected]))

    _run(scenario)


@pytest.mark.parametrize('status', [b'500 Error', b'503 Full'])
def test_complete_error_response_is_no_evidence(status: bytes) -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        async def script(connection: RawConnection) -> None:
            request_id = connection.headers['attempt-id'].encode()
            await connection.write(
                b'HTTP/1.1 %b\r\nAttempt-Id: %b\r\nContent-Length: 0\r\n\r\n'
                % (status, request_id)
            )

        await harness.start_raw_upstream(script)
        await harness.send_request(headers=dict(_PROMPT))
        assert_that(harness.hub.build_evidence(), Equals(None))

    _run(scenario)


def test_stream_that_goes_on_is_reported_before_it_ends() -> None:
    now = [100.0]

    async def scenario() -> None:
        async with ForwardingHarness(clock=lambda: now[0]) as harness:
            harness.set_route(RouteKind.stream)
            _update(
                harness,
                QuarantineUpdate(
                    term=1, version=1, confirmed=0, watched=('bad',)
                ),
            )
            is_reported = asyncio.Event()

            async def script(connection: RawConnection) -> None:
                await connection.write_head(EVENT_STREAM, 'connection')
                await connection.write(_EVENT)
                while not harness.hub.quarantine.answered:
                    now[0] += PROOF_S
                    await connection.write(_EVENT)
                    # The entry reads each event in its own iteration.
                    await asyncio.sleep(0)
                is_reported.set()

            await harness.start_raw_upstream(script)
            async with asyncio.timeout(5):
                await harness.send_request(headers=dict(_PROMPT))
                await is_reported.wait()
            evidence = harness.hub.build_evidence()
            assert evidence is not None
            parts = [one.part for one in evidence.answered]
            assert_that(parts, Equals(['bad']))

    asyncio.run(scenario())


def test_waiting_request_is_refused_when_its_prompt_is_quarantined() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        sent = asyncio.create_task(harness.send_request(headers=dict(_PROMPT)))
        async with asyncio.timeout(5):
            await harness.hub.request_waiting.wait()
        quarantined = (QuarantinedPrompt(('bad',), 300),)
        _update(
            harness,
            QuarantineUpdate(
                term=1, version=1, confirmed=0, quarantined=quarantined
            ),
        )
        refused = (await sent).unwrap()
        assert_that(refused.head.status, Equals(503))
        assert_that(refused.body, Equals(b'{"error":"quarantined_prompt"}'))
        assert_that(harness.hub.dispatcher.pending, Equals({}))

    _run(scenario)


async def _serve_first_and_end(
    harness: ForwardingHarness, script: RawScript, *, restarts: bool
) -> list[ObservedCrash]:
    """Have a kept connection end under the second request; return evidence."""
    harness.set_route(RouteKind.idempotent)
    served: list[RawConnection] = []

    async def run_script(connection: RawConnection) -> None:
        served.append(connection)
        if len(served) == 1:
            await connection.respond(PLAIN, 'length', b'{}')
            return
        if not restarts:
            harness.raw_servers[0].close()
        await script(connection)

    await harness.start_raw_upstream(run_script, keeps_connections=True)
    await harness.send_request()
    await harness.send_request()
    evidence = harness.hub.build_evidence()
    return list(evidence.crashes) if evidence else []


async def _close(connection: RawConnection) -> None:
    connection.writer.close()


async def _answer_after_reconnecting(connection: RawConnection) -> None:
    if connection.number == 1:
        connection.writer.close()
    else:
        await connection.respond(PLAIN, 'length', b'{}')


def test_end_under_a_request_on_a_kept_connection_is_evidence() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        crashes = await _serve_first_and_end(harness, _close, restarts=False)
        assert_that([one.request_id for one in crashes], Equals(['r2']))

    _run(scenario)


def test_closed_kept_connection_of_a_live_upstream_is_no_evidence() -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        crashes = await _serve_first_and_end(
            harness, _answer_after_reconnecting, restarts=True
        )
        assert_that(crashes, Equals([]))

    _run(scenario)


@pytest.mark.parametrize('kind', [RouteKind.idempotent, RouteKind.stream])
@pytest.mark.parametrize('answers_later', [True, False])
def test_silence_is_evidence_once_the_process_is_gone(
    kind: RouteKind, answers_later: bool
) -> None:
    async def scenario(harness: ForwardingHarness) -> None:
        harness.set_route(kind, resumable=kind is RouteKind.stream)
        is_silent = True

        async def script(connection: RawConnection) -> None:
            if is_silent:
                await asyncio.Event().wait()
            content_type = (
                PLAIN if kind is RouteKind.idempotent else (EVENT_STREAM)
            )
            await connection.respond(content_type, 'length', _EVENT)

        upstream = await harness.start_raw_upstream(script)
        await harness.send_request()
        assert_that(harness.hub.build_evidence(), Equals(None))
        if answers_later:
            is_silent = False
            await harness.send_request()
        harness.raw_upstreams.remove(upstream)
        harness.set_facts()
        evidence = harness.hub.build_evidence()
        crashes = evidence.crashes if evidence else ()
        expected = [] if answers_later else ['r1']
        assert_that([one.request_id for one in crashes], Equals(expected))

    _run(scenario)
