"""Entries that are cut off from all upstreams, while other entries are not."""

import asyncio
from itertools import repeat
from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from persimmonhold.platform._names import REQUEST_ID
from persimmonhold.routes import RouteKind
from persimmonhold.web import FetchedResponse
from tests.forwarding_harness import ROUTE_KINDS
from tests.raw_upstream import EVENT_STREAM, PLAIN, RawConnection
from tests.upstream_links import (
    HANG,
    LIVE_ON,
    RESET,
    LinkedEntries,
    run_linked,
)

_EVENTS: Final = b'id: 1\ndata: x\n\nid: 2\ndata: y\n\n'
_CUTS: Final = (HANG, RESET, LIVE_ON)
# The rule allows 3 s or more after a cut began.
_NOTICED_S: Final = 2.5
_REQUESTS: Final = 24
_INTERVAL_S: Final = 0.02
_SERVED_SHARE: Final = 2 / 3


class CountingUpstream:
    """Answers requests, and counts the runs of each by its id."""

    def __init__(self, kind: RouteKind) -> None:
        self.kind = kind
        self.runs: dict[str, int] = {}

    async def serve(self, connection: RawConnection) -> None:
        """Run a request."""
        request_id = connection.headers[REQUEST_ID]
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        await asyncio.sleep(0.01)
        content_type = EVENT_STREAM if self.kind is RouteKind.stream else PLAIN
        await connection.respond(content_type, 'chunks', _EVENTS)


async def _send(
    linked: LinkedEntries, entry: int, name: str, deadline_ms: int = 3000
) -> FetchedResponse | None:
    answered = await linked.entries[entry].send_request(
        headers={'attempt-id': name}, deadline_ms=deadline_ms
    )
    return answered.value_or(None)


async def _send_for(
    linked: LinkedEntries, entry: int, prefix: str, seconds: float
) -> None:
    """Send requests for some time, as other callers of an entry do."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    sent: list[asyncio.Task[FetchedResponse | None]] = []
    while loop.time() < ends_at:
        name = f'{prefix}{len(sent)}'
        sent.append(loop.create_task(_send(linked, entry, name, 1000)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*sent)


async def _count_served(
    linked: LinkedEntries, entry: int, prefix: str
) -> tuple[int, list[FetchedResponse | None]]:
    """Send requests at short intervals; return how many were served."""
    sent: list[asyncio.Task[FetchedResponse | None]] = []
    for number in range(_REQUESTS):
        sent.append(
            asyncio.create_task(_send(linked, entry, f'{prefix}{number}', 1500))
        )
        await asyncio.sleep(_INTERVAL_S)
    answers = await asyncio.gather(*sent)
    served = sum(
        answer is not None
        and answer.head.status == 200
        and answer.body == _EVENTS
        for answer in answers
    )
    return served, list(answers)


@pytest.mark.parametrize('how', _CUTS)
@pytest.mark.parametrize(('kind', 'resumable'), ROUTE_KINDS)
def test_callers_of_an_entry_without_upstreams_are_served(
    kind: RouteKind, resumable: bool, how: str
) -> None:
    upstream = CountingUpstream(kind)

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(kind, attempts=2, resumable=resumable)
        await linked.start_upstreams(*repeat(upstream.serve, 3))
        await _send_for(linked, 0, 'before', 0.3)
        linked.cut(0, how)
        await _send_for(linked, 0, 'noticing', _NOTICED_S)
        upstream.runs.clear()
        served, answers = await _count_served(linked, 0, 'after')
        assert_that(
            served >= _SERVED_SHARE * _REQUESTS,
            Is(True),
            f'{served} of {_REQUESTS}',
        )
        refused = {
            f'after{number}'
            for number, answer in enumerate(answers)
            if answer is not None and answer.head.status == 503
        }
        assert_that(refused & upstream.runs.keys(), Equals(set()))
        assert_that(max(upstream.runs.values()), Equals(1))

    run_linked(3, scenario)


@pytest.mark.parametrize('cut_entries', [1, 2, 3])
def test_part_of_the_entries_without_upstreams_is_served_by_the_others(
    cut_entries: int,
) -> None:
    """A cut entry passes nothing on to another cut one for long."""
    upstream = CountingUpstream(RouteKind.non_idempotent)

    async def scenario(linked: LinkedEntries) -> None:
        linked.set_route(RouteKind.non_idempotent)
        await linked.start_upstreams(*repeat(upstream.serve, 3))
        for entry in range(cut_entries):
            linked.cut(entry, HANG)
        noticing = [
            _send_for(linked, cut, f'noticing{cut}-', _NOTICED_S)
            for cut in range(cut_entries)
        ]
        await asyncio.gather(*noticing)
        upstream.runs.clear()
        for entry in range(cut_entries):
            served, _ = await _count_served(linked, entry, f'e{entry}-')
            assert_that(
                served >= _SERVED_SHARE * _REQUESTS,
                Is(True),
                f'{served} of {_REQUESTS} at entry {entry}',
            )
        assert_that(max(upstream.runs.values()), Equals(1))

    run_linked(4, scenario)
