"""Keys appear nowhere but in the operator's own document."""

import asyncio
from pathlib import Path
from typing import Any, Final

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from persimmonhold.fleet import RequestProfile
from persimmonhold.forwarding import ForwardParameters
from persimmonhold.observability import LogLevel, LogOutput, log_event
from persimmonhold.platform import _names as names
from persimmonhold.platform._dialect import PlatformDialect
from persimmonhold.routes import fingerprint_key, hash_key
from persimmonhold.web import FetchedResponse, RequestHead
from tests.platform_fakes import (
    HOST,
    FakePlatform,
    make_configuration,
    until,
)

_KEY: Final = 'valid-secret-key'
_UNKNOWN: Final = 'unknown-secret-key'
_SECRET: Final = 'secret-key'
_WORKSPACE: Final = 'hule930 é'


async def _send_raw(address: str, request: bytes) -> bytes:
    """Send bytes as they are; return the response."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    received = await reader.read(65_536)
    writer.close()
    return received


async def _send_each_kind(platform: FakePlatform) -> list[bytes]:
    """Send requests that end in each way; return what callers got."""
    front = platform.address('e1', 1)
    answers: list[FetchedResponse | None] = []
    for key in (_KEY, _UNKNOWN):
        authorization = f'Bearer {key}'
        for target in ('/app/x', f'/app/x?key={key}', '/app/cut', '/no/x'):
            answers.append(
                await platform.send_request(
                    front, 'POST', target, authorization=authorization
                )
            )
        answers.extend([
            await platform.send_request(
                front, 'POST', '/app/x', authorization=key
            ),
            await platform.send_request(
                front,
                'POST',
                '/app/x',
                authorization=authorization,
                token_count=f'x{key}',
            ),
            await platform.send_request(
                front,
                'POST',
                '/chat/x',
                authorization=authorization,
                model='absent',
            ),
        ])
    malformed = (
        f'POST /app/x HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Authorization : Bearer {_KEY}\r\n\r\n'
    )
    bodies = [answer.body for answer in answers if answer is not None]
    return [*bodies, await _send_raw(front, malformed.encode())]


def _make_tenants(*keys: object) -> list[dict[str, Any]]:
    return [{'name': _WORKSPACE, 'api-keys': list(keys)}]


def test_no_key_is_shown_by_a_running_system(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """Guards logs, metrics, error texts, status and crash texts."""
    log_path = tmp_path / 'log'

    async def run() -> list[bytes]:
        async with FakePlatform(tmp_path) as platform:
            worker = await platform.start_worker('app')
            await platform.start_worker('models', 'm1')
            await platform.start_vms('c1', 'e1')
            document = make_configuration(3)
            document['tenants'] = _make_tenants(_KEY)
            status = await platform.put_configuration(document)
            assert_that(status, Equals(200))
            entry = platform.vms['e1'].entry
            assert entry is not None
            await until(lambda: entry.is_ready)
            shown = await _send_each_kind(platform)
            for keys in ((_KEY, _KEY), (_KEY, 1), (_KEY, '')):
                document['version'] = 4
                document['tenants'] = _make_tenants(*keys)
                refused = await platform.send_request(
                    platform.address('c1', 3),
                    'PUT',
                    names.CONFIGURATION_PATH,
                    msgspec.json.encode(document),
                )
                assert refused is not None
                assert_that(refused.head.status, Equals(400))
                shown.append(refused.body)
            for address in ('127.77.1.1:9464', '127.77.2.1:9464'):
                metrics = await platform.send_request(
                    address, 'GET', '/metrics'
                )
                assert metrics is not None
                shown.append(metrics.body)
            shown.append(repr(worker.heads).encode())
            assert_that(
                worker.heads[0].header(names.WORKSPACE),
                Equals(_WORKSPACE.encode().decode('latin-1')),
            )
            return shown

    # The first output also gets the lines that other tests have logged before.
    with LogOutput(LogLevel.debug, str(tmp_path / 'earlier')):
        log_event('earlier_lines')
    with LogOutput(LogLevel.debug, str(log_path)):
        shown = asyncio.run(run())
    captured = capfd.readouterr()
    log = log_path.read_text(encoding='utf-8')
    texts = [
        log,
        captured.out,
        captured.err,
        *(text.decode('latin-1') for text in shown),
    ]
    for text in texts:
        assert_that(text, Not(Contains(_SECRET)))
        assert_that(text, Not(Contains(hash_key(_KEY))))
    lines = [msgspec.json.decode(line) for line in log.splitlines()]
    requests = [line for line in lines if line['message_type'] == 'request']
    named = {line['workspace'] for line in requests}
    assert_that(named, Equals({_WORKSPACE}))
    refused = [line for line in lines if line.get('reason') == 'unknown_key']
    fingerprints = {line['key'] for line in refused}
    expected = {fingerprint_key(hash_key(_UNKNOWN)), ''}
    assert_that(fingerprints, Equals(expected))


def test_key_is_not_in_what_is_kept_of_a_request() -> None:
    """Guards crash texts, which may represent any of these."""
    dialect = PlatformDialect()
    head = RequestHead(
        method='POST',
        target=f'/app/x?key={_KEY}',
        headers=(
            (b'attempt-id', b'r1'),
            (b'authorization', f'Bearer {_KEY}'.encode()),
        ),
        peer='127.0.0.1:1',
    )
    profile = dialect.decode_profile(head).unwrap()
    parameters = ForwardParameters(
        time_left_ms=1, upstream='u1', urgency=0, has_workspaces=True
    )
    headers = dialect.build_request_headers(head, parameters)
    assert isinstance(profile, RequestProfile)
    for text in (repr(head), repr(profile), repr(headers)):
        assert_that(text, Not(Contains(_KEY)))
    assert_that(dialect.hash_key(head), Equals(hash_key(_KEY)))
