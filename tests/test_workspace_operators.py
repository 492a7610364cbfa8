"""What operators see of workspaces, and how entries report their usage."""

import asyncio
from pathlib import Path
from typing import Any

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, Not

from persimmonhold.cli._workspace_commands import show_workspaces
from persimmonhold.operations import OperatorClient
from persimmonhold.routes import fingerprint_key, hash_key
from persimmonhold.usage import (
    UsageBook,
    UsedTokens,
    WorkspaceMeter,
    WorkspaceUsage,
)
from persimmonhold.web import parse_address
from tests.platform_fakes import FakePlatform, make_configuration, until

_KEY = 'valid-secret-key'


def _make_usage(
    sequence: int, tokens: int, incarnation: str = 'i1'
) -> WorkspaceUsage:
    return WorkspaceUsage(
        incarnation=incarnation,
        sequence=sequence,
        used=(UsedTokens('first', 1, tokens),),
    )


def _make_document() -> dict[str, Any]:
    document = make_configuration(3)
    document['routes'][0]['public'] = True
    document['tenants'] = [
        {'name': 'second', 'api-keys': []},
        {
            'name': 'first',
            'api-keys': [_KEY],
            'priority': 2,
            'rate-per-s': 4200,
            'burst': 4300,
            'unit': 'token_stream',
            'uncached-tokens': 200,
        },
    ]
    return document


def test_operator_sees_workspaces_limits_usage_and_no_key(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with FakePlatform(tmp_path) as platform:
            await platform.start_worker('models', 'm1')
            await platform.start_vms('c1', 'e1')
            status = await platform.put_configuration(_make_document())
            assert_that(status, Equals(200))
            entry = platform.vms['e1'].entry
            assert entry is not None
            await until(lambda: entry.is_ready)
            answer = await platform.send_request(
                platform.address('e1', 1),
                'POST',
                '/chat/x',
                b'hello',
                model='m1',
                token_count='40,8',
                authorization=f'Bearer {_KEY}',
            )
            assert answer is not None
            assert_that(answer.head.status, Equals(200))
            address = parse_address(platform.address('c1', 3)).unwrap()
            client = OperatorClient((address,), 'auditor')

            async def is_usage_shown() -> bool:
                output = await show_workspaces(client)
                assert isinstance(output.document, dict)
                listed = output.document['workspaces']
                return bool(listed[0]['tokens_per_s'])

            await until(is_usage_shown)
            output = await show_workspaces(client)
            assert isinstance(output.document, dict)
            expected = {
                'name': 'first',
                'priority': 2,
                'keys': [fingerprint_key(hash_key(_KEY))],
                'limit': {
                    'per_s': 4200.0,
                    'burst': 4300.0,
                    'counts_tokens': True,
                    'default_tokens': 200,
                },
                'requests_per_s': 0.1,
                'tokens_per_s': 4.8,
            }
            listed = output.document['workspaces']
            assert_that(listed[0], Equals(expected))
            assert_that(listed[1]['limit'], Is(None))
            assert_that(output.document['public_routes'], Equals(['plain']))
            assert_that(output.text, Contains('4200 tokens/s'))
            assert_that(output.text, Not(Contains(_KEY)))
            written = await platform.send_request(
                platform.address('c1', 3), 'PUT', '/fleet/v1/workspaces'
            )
            assert written is not None
            assert_that(written.head.status, Equals(405))

    asyncio.run(scenario())


def test_usage_is_reported_once_and_at_intervals() -> None:
    meter = WorkspaceMeter()
    assert_that(meter.build_message('i1', 0), Is(None))
    for workspace in ('first', 'first', 'second'):
        meter.record_request(workspace, 600)
    message = meter.build_message('i1', 1)
    assert message is not None
    expected = (UsedTokens('first', 2, 1200), UsedTokens('second', 1, 600))
    assert_that(message.used, Equals(expected))
    meter.record_request('first', 600)
    assert_that(meter.build_message('i1', 2.9), Is(None))
    later = meter.build_message('i1', 3)
    assert later is not None
    assert_that(later.used, Equals((UsedTokens('first', 1, 600),)))
    assert_that(later.sequence > message.sequence, Is(True))


def test_message_on_many_workspaces_is_bounded_and_the_rest_follows() -> None:
    meter = WorkspaceMeter()
    for number in range(300):
        meter.record_request(f'w{number}', 1)
    reported: set[str] = set()
    for now in (0, 2):
        message = meter.build_message('i1', now)
        assert message is not None
        assert_that(len(message.used) <= 256, Is(True))
        reported.update(used.workspace for used in message.used)
    assert_that(reported, HasLength(300))


def test_usage_of_all_entries_is_summed_and_forgotten() -> None:
    book = UsageBook()
    book.record_usage('e1', _make_usage(1, 100), 5.0)
    book.record_usage('e2', _make_usage(1, 50), 5.5)
    assert_that(book.find_usage('first', 6.0), Equals((0.2, 15.0)))
    assert_that(book.find_usage('other', 6.0), Equals((0.0, 0.0)))
    assert_that(book.find_usage('first', 16.0), Equals((0.0, 0.0)))


def test_repeated_usage_counts_once_and_a_restarted_entry_counts() -> None:
    book = UsageBook()
    for _ in range(2):
        book.record_usage('e1', _make_usage(3, 100), 5.0)
    book.record_usage('e1', _make_usage(2, 100), 5.0)
    assert_that(book.find_usage('first', 5.0), Equals((0.1, 10.0)))
    book.record_usage('e1', _make_usage(1, 100, 'i2'), 5.0)
    assert_that(book.find_usage('first', 5.0), Equals((0.2, 20.0)))
