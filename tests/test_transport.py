"""Tests of the message transport: delivery, loss, queue bounds and TLS."""

import asyncio
import contextlib
import datetime
import ipaddress
import math
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import final

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from persimmonhold.settings import PeerSettings, TlsSettings
from persimmonhold.transport import (
    Channel,
    LivenessMonitor,
    NngTransport,
    decode_envelope,
    encode_envelope_head,
)

_LOOPBACK = PeerSettings(address='127.0.0.1:0')
_RESEND_INTERVAL_S = 0.05
_REPORT_S = 0.005  # to handle the report of a VM
_REPORTS_PER_VM = 80
_DAY = datetime.timedelta(days=1)


@final
class Authority:
    """A certificate authority for the tests."""

    def __init__(self) -> None:
        """Create an authority with a new key."""
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = _subject('authority')
        self.certificate = self.issue(self.name, self.key, is_authority=True)

    def issue(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        vm: str = '',
        *,
        is_authority: bool = False,
    ) -> bytes:
        """Issue a certificate and return it as PEM."""
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509
            .CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - _DAY)
            .not_valid_after(now + _DAY)
            .add_extension(
                x509.BasicConstraints(ca=is_authority, path_length=None),
                critical=True,
            )
        )
        if vm:
            names = [
                x509.DNSName(vm),
                x509.IPAddress(ipaddress.ip_address('127.0.0.1')),
            ]
            builder = builder.add_extension(
                x509.SubjectAlternativeName(names),
                critical=False,
            )
        signed = builder.sign(self.key, hashes.SHA256())
        return signed.public_bytes(serialization.Encoding.PEM)

    def write(self, directory: Path, vm: str, trusted: bytes) -> TlsSettings:
        """Write the TLS files of a VM that trusts the authority `trusted`."""
        key = ec.generate_private_key(ec.SECP256R1())
        pem = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        paths = [directory / f'{vm}.{part}' for part in ('pem', 'key', 'ca')]
        paths[0].write_bytes(self.issue(_subject(vm), key, vm))
        paths[1].write_bytes(pem)
        paths[2].write_bytes(trusted)
        return TlsSettings(
            certificate=str(paths[0]),
            key=str(paths[1]),
            authority=str(paths[2]),
        )


def _subject(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


@pytest.fixture(scope='module')
def authority() -> Authority:
    return Authority()


@final
class Inbox:
    """Collects what a transport receives on the control channel."""

    def __init__(self, transport: NngTransport) -> None:
        """Subscribe to a transport."""
        self.received: list[tuple[str, bytes]] = []
        self.arrived = asyncio.Event()
        transport.set_receiver(Channel.control, self.receive)

    def receive(self, peer: str, payload: bytes) -> None:
        """Collect a message."""
        self.received.append((peer, payload))
        self.arrived.set()

    async def wait(self, resend: Callable[[], None] | None = None) -> None:
        """Wait for a message; calls `resend` periodically until then."""
        while not self.arrived.is_set():
            if resend is not None:
                resend()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_RESEND_INTERVAL_S):
                    await self.arrived.wait()


def _run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(20):
            await scenario()

    asyncio.run(bounded())


@given(
    channel=st.sampled_from(Channel),
    sender=st.from_regex('[a-z0-9-]{0,63}', fullmatch=True),
    payload=st.binary(),
)
def test_envelope_survives_the_codec(
    channel: Channel,
    sender: str,
    payload: bytes,
) -> None:
    head = encode_envelope_head(channel, sender, '127.0.0.1:9')
    envelope = decode_envelope(head + payload)
    assert envelope is not None
    assert_that(envelope.channel, Equals(channel))
    assert_that(envelope.sender, Equals(sender))
    assert_that(envelope.payload, Equals(payload))


@given(received=st.binary(max_size=30))
def test_any_bytes_are_taken_or_left(received: bytes) -> None:
    envelope = decode_envelope(received)
    if envelope is not None:
        head = encode_envelope_head(
            envelope.channel,
            envelope.sender,
            envelope.sender_address,
        )
        assert_that(head + envelope.payload, Equals(received))


def test_messages_arrive_by_channel_and_can_be_answered() -> None:
    async def scenario() -> None:
        async with (
            NngTransport('vm1', _LOOPBACK, TlsSettings()) as one,
            NngTransport('vm2', _LOOPBACK, TlsSettings()) as two,
        ):
            one.set_peers({'vm2': two.address})
            two.set_receiver(
                Channel.control,
                lambda peer, payload: two.send(peer, Channel.control, payload),
            )
            inbox = Inbox(one)
            one.send('vm2', Channel.consensus, b'unread')
            one.send('vm2', Channel.control, b'question')
            await inbox.wait()
            # The reply went to the address learned from the first message.
            assert_that(inbox.received, Equals([('vm2', b'question')]))
            assert_that(one.traffic_counters.sent_messages, Equals(2))
            assert_that(two.traffic_counters.received_messages, Equals(2))
            for channel in (Channel.consensus, Channel.control):
                sent = one.traffic_counters.sent_bytes_by_channel[channel]
                received = two.traffic_counters.received_bytes_by_channel
                assert_that(sent, GreaterThan(0))
                assert_that(received[channel], Equals(sent))

    _run(scenario)


def test_consensus_does_not_wait_behind_the_reports_of_many_vms() -> None:
    """A leader with many entries lost its term: replies came too late."""

    async def scenario() -> None:
        handled: list[str] = []
        consensus_came = asyncio.Event()

        def handle_report(peer: str, payload: bytes) -> None:
            time.sleep(_REPORT_S)
            handled.append('report')

        def handle_consensus(peer: str, payload: bytes) -> None:
            handled.append('consensus')
            consensus_came.set()

        async with contextlib.AsyncExitStack() as stack:
            leader = NngTransport('vm0', _LOOPBACK, TlsSettings())
            await stack.enter_async_context(leader)
            leader.set_receiver(Channel.fleet, handle_report)
            leader.set_receiver(Channel.consensus, handle_consensus)
            senders = [
                NngTransport(f'vm{number}', _LOOPBACK, TlsSettings())
                for number in range(1, 6)
            ]
            for one in senders:
                await stack.enter_async_context(one)
                one.set_peers({'vm0': leader.address})
                for _ in range(_REPORTS_PER_VM):
                    one.send('vm0', Channel.fleet, b'report')
            senders[-1].send('vm0', Channel.consensus, b'reply')
            await consensus_came.wait()
        assert_that(len(handled), LessThan(_REPORTS_PER_VM))

    _run(scenario)


def test_peer_that_does_not_listen_loses_messages_and_blocks_nobody() -> None:
    async def scenario() -> None:
        async with NngTransport('vm1', _LOOPBACK, TlsSettings()) as one:
            one.set_peers({'vm2': '127.0.0.1:9'})
            for _ in range(1000):
                one.send('vm2', Channel.control, b'lost')
            one.send('vm3', Channel.control, b'unknown')
            assert_that(one.traffic_counters.dropped_messages, GreaterThan(800))
            assert_that(one.traffic_counters.sent_messages, LessThan(200))

    _run(scenario)


def test_peer_that_comes_back_is_reached_again() -> None:
    async def scenario() -> None:
        async with NngTransport('vm1', _LOOPBACK, TlsSettings()) as one:
            first = NngTransport('vm2', _LOOPBACK, TlsSettings())
            async with first:
                one.set_peers({'vm2': first.address})
                inbox = Inbox(first)
                one.send('vm2', Channel.control, b'1')
                await inbox.wait()
            again = PeerSettings(address=first.address)
            async with NngTransport('vm2', again, TlsSettings()) as second:
                inbox = Inbox(second)
                await inbox.wait(
                    lambda: one.send('vm2', Channel.control, b'2'),
                )
                assert_that(inbox.received[0], Equals(('vm1', b'2')))

    _run(scenario)


def test_idle_connections_are_probed_seldom_and_still_found_silent() -> None:
    monitor = LivenessMonitor(0.0)
    probes = 0
    for tick in range(100):
        if monitor.start_probe_if_due(tick / 10):
            probes += 1
            monitor.record_reply()
    # In use it would get 25; each VM has a connection to nearly every other.
    assert_that(probes, LessThan(8))
    assert_that(_find_silent_after_s(monitor, 10.0), LessThan(3.0))


def test_connection_in_use_is_found_silent_within_two_seconds() -> None:
    monitor = LivenessMonitor(0.0)
    monitor.record_message()
    assert_that(_find_silent_after_s(monitor, 0.0), LessThan(2.0))


def _find_silent_after_s(monitor: LivenessMonitor, since: float) -> float:
    """Return how long a connection is in use before it is found silent."""
    for tick in range(100):
        monitor.start_probe_if_due(since + tick / 10)
        if monitor.is_silent(since + tick / 10):
            return tick / 10
    return math.inf


@pytest.mark.parametrize('allowed', [False, True])
def test_beyond_loopback_needs_tls_or_the_setting(allowed: bool) -> None:
    settings = PeerSettings(
        address='0.0.0.0:0',
        plain_outside_loopback=allowed,
    )

    async def listen() -> None:
        async with NngTransport('vm1', settings, TlsSettings()) as one:
            one.set_peers({'vm2': '10.0.0.1:1'})

    if allowed:
        _run(listen)
    else:
        with pytest.raises(OSError, match='plain_outside_loopback'):
            _run(listen)


def test_address_in_use_is_an_error() -> None:
    async def scenario() -> None:
        async with NngTransport('vm1', _LOOPBACK, TlsSettings()) as one:
            taken = PeerSettings(address=one.address)
            with pytest.raises(OSError, match=one.address):
                await NngTransport('vm2', taken, TlsSettings()).__aenter__()

    _run(scenario)


@pytest.mark.parametrize('sender', ['stranger', 'plain'])
def test_only_trusted_certificates_are_accepted(
    authority: Authority,
    tmp_path: Path,
    sender: str,
) -> None:
    trusted = authority.certificate
    own = authority.write(tmp_path, 'vm2', trusted)
    known = authority.write(tmp_path, 'vm1', trusted)
    tls = {
        'stranger': Authority().write(tmp_path, 'vm3', trusted),
        'plain': TlsSettings(),
    }

    async def scenario() -> None:
        async with (
            NngTransport('vm3', _LOOPBACK, tls[sender]) as other,
            NngTransport('vm1', _LOOPBACK, known) as one,
            NngTransport('vm2', _LOOPBACK, own) as two,
        ):
            inbox = Inbox(two)
            for transport in (other, one):
                transport.set_peers({'vm2': two.address})
                transport.send('vm2', Channel.control, b'hello')
            await inbox.wait()
            assert_that(inbox.received, Equals([('vm1', b'hello')]))
            other.send('vm2', Channel.control, b'hello again')
            one.send('vm2', Channel.control, b'last')
            inbox.arrived.clear()
            await inbox.wait()
            assert_that(inbox.received[1], Equals(('vm1', b'last')))

    _run(scenario)


def test_certificates_are_reloaded_without_a_restart(
    authority: Authority,
    tmp_path: Path,
) -> None:
    trusted = authority.certificate
    tls = [authority.write(tmp_path, vm, trusted) for vm in ('vm1', 'vm2')]
    successor = Authority()

    async def scenario() -> None:
        async with (
            NngTransport('vm1', _LOOPBACK, tls[0]) as one,
            NngTransport('vm2', _LOOPBACK, tls[1]) as two,
        ):
            one.set_peers({'vm2': two.address})
            inbox = Inbox(two)
            one.send('vm2', Channel.control, b'before')
            await inbox.wait()
            inbox.arrived.clear()
            for vm in ('vm1', 'vm2'):
                successor.write(tmp_path, vm, successor.certificate)
            assert_that(two.reload_certificates(), Equals(True))
            assert_that(two.reload_certificates(), Equals(False))
            assert_that(one.reload_certificates(), Equals(True))
            one.send('vm2', Channel.control, b'after')
            await inbox.wait()
            assert_that(inbox.received[-1], Equals(('vm1', b'after')))

    _run(scenario)
