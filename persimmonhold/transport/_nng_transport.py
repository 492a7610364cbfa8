"""Message transport between VMs, based on pynng.

One socket receives all messages of the process, and one socket per peer
sends. The push and pull protocols neither resend nor wait for a reply.
Invariants: no call blocks; messages to a peer that does not read are dropped
once its queue is full, without delay for other peers; probes detect a
connection that no longer carries messages, and it is replaced; messages that
keep the term of a leader do not wait behind others.
"""

import asyncio
from types import TracebackType
from typing import Final, Self, final

import pynng

from persimmonhold.settings import PeerSettings, TlsSettings
from persimmonhold.transport._channel import Channel
from persimmonhold.transport._envelope import (
    Envelope,
    decode_envelope,
    encode_envelope_head,
)
from persimmonhold.transport._liveness_monitor import (
    PROBE_INTERVAL_S,
    ProbePace,
)
from persimmonhold.transport._native_threads import limit_native_threads
from persimmonhold.transport._peer_socket import PeerSocket
from persimmonhold.transport._receive_queue import ReceiveQueue
from persimmonhold.transport._tls_files import TlsFiles
from persimmonhold.transport._traffic_counters import TrafficCounters
from persimmonhold.transport._transport import Receiver, Transport
from persimmonhold.web import parse_address

_RECEIVE_QUEUE_LENGTH: Final = 1024
_MAX_MESSAGE_BYTES: Final = 16_777_216
_MAX_RECEIVE_BATCH: Final = 128
_RECEIVE_TIMEOUT_MS: Final = 1
# Beyond this number, the address that was learned first is dropped.
_MAX_LEARNED_ADDRESSES: Final = 4096
_CERTIFICATE_RELOAD_INTERVAL_S: Final = 2.0
_PROBE: Final = b'?'
_PROBE_REPLY: Final = b'!'


@final
class NngTransport(Transport):
    """Owns the sockets of one process.

    Entering the context starts to listen. It raises `OSError` if the address
    cannot be bound, a certificate cannot be read, or an address other than
    loopback would be used without TLS.
    """

    def __init__(
        self,
        name: str,
        peers: PeerSettings,
        tls: TlsSettings,
        reload_interval_s: float = _CERTIFICATE_RELOAD_INTERVAL_S,
    ) -> None:
        """Create the transport of the VM `name`; port 0 chooses a free port."""
        self.name = name
        self.address = peers.address
        self.traffic_counters = TrafficCounters()
        self._is_plain_allowed = peers.plain_outside_loopback
        self._tls_settings = tls
        self._tls: TlsFiles | None = None
        self._reload_interval_s = reload_interval_s
        self._receivers: dict[Channel, Receiver] = {}
        self._queue = ReceiveQueue(self._handle_message, self.traffic_counters)
        self._configured_addresses: dict[str, str] = {}
        self._learned_addresses: dict[str, str] = {}
        self._peer_sockets: dict[str, PeerSocket] = {}
        self._envelope_heads: dict[Channel, bytes] = {}
        self._receive_socket: pynng.Pull0 | None = None
        self._listener: pynng.Listener | None = None
        self._reload_timer: asyncio.TimerHandle | None = None
        self._probe_timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> Self:
        """Start listening."""
        limit_native_threads()
        if self._tls_settings.is_configured:
            self._tls = TlsFiles(self._tls_settings)
        self._check_address_allowed(self.address)
        self._receive_socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_QUEUE_LENGTH,
            recv_max_size=_MAX_MESSAGE_BYTES,
            recv_timeout=_RECEIVE_TIMEOUT_MS,
        )
        try:
            self._listen(self._receive_socket)
        except pynng.NNGException as error:
            self._receive_socket.close()
            raise OSError(f'listen on {self.address}: {error}') from error
        loop = asyncio.get_running_loop()
        loop.add_reader(self._receive_socket.recv_fd, self._receive_messages)
        if self._tls is not None:
            self._reload_certificates_periodically()
        self._probe_peers()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close every socket and drop queued messages."""
        for timer in (self._reload_timer, self._probe_timer):
            if timer is not None:
                timer.cancel()
        if self._receive_socket is not None:
            asyncio.get_running_loop().remove_reader(
                self._receive_socket.recv_fd,
            )
            self._receive_socket.close()
            self._receive_socket = None
        self._queue.close()
        for peer in tuple(self._peer_sockets):
            self._peer_sockets.pop(peer).close()

    def send(self, peer: str, channel: Channel, payload: bytes) -> None:
        """Queue a message for the VM `peer`.

        The message is dropped if the queue is full or the address unknown.
        """
        address = self._configured_addresses.get(
            peer
        ) or self._learned_addresses.get(peer, '')
        if not address or self._receive_socket is None:
            self.traffic_counters.dropped_messages += 1
            return
        message = self._envelope_heads[channel] + payload
        opened = self._get_or_open_socket(peer, address)
        if channel is not Channel.probe:
            opened.liveness.record_message()
        if opened.send(message):
            self.traffic_counters.count_sent(channel, len(message))
        else:
            self.traffic_counters.dropped_messages += 1

    def set_receiver(self, channel: Channel, receiver: Receiver) -> None:
        """Pass messages of a channel to `receiver` as (peer, payload).

        A channel has one receiver: a later call replaces the earlier one.
        """
        self._receivers[channel] = receiver

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Replace the addresses of the known VMs: `ip:port` by name.

        Sockets to peers whose address changed are closed.
        """
        self._configured_addresses = {
            peer: address
            for peer, address in addresses.items()
            if address and self._is_address_allowed(address)
        }
        for peer, opened in tuple(self._peer_sockets.items()):
            wanted = self._configured_addresses.get(
                peer
            ) or self._learned_addresses.get(peer)
            if wanted != opened.address:
                self._peer_sockets.pop(peer).close()

    def reload_certificates(self) -> bool:
        """Load certificate files that changed; return whether any had.

        If so, all connections are closed and opened again on demand;
        messages in flight are lost.
        """
        if self._tls is None or self._receive_socket is None:
            return False
        if not self._tls.reload_if_changed():
            return False
        if self._listener is not None:
            self._listener.close()
        self._listen(self._receive_socket)
        for peer in tuple(self._peer_sockets):
            self._peer_sockets.pop(peer).close()
        return True

    def _listen(self, socket: pynng.Pull0) -> None:
        if self._tls is not None:
            socket.tls_config = self._tls.create_server_config()
        scheme = 'tcp' if self._tls is None else 'tls+tcp'
        self._listener = socket.listen(f'{scheme}://{self.address}')
        listening = parse_address(self.address).unwrap()
        # pynng returns the port in network byte order.
        port = int.from_bytes(
            self._listener.local_address.port.to_bytes(2, 'little'),
            'big',
        )
        self.address = str(type(listening)(listening.host, port))
        # Consensus makes up most of the traffic. Its peers have configured
        # addresses, so its messages omit the sender's.
        self._envelope_heads = {
            channel: encode_envelope_head(
                channel,
                self.name,
                '' if channel is Channel.consensus else self.address,
            )
            for channel in Channel
        }

    def _receive_messages(self) -> None:
        """Take received messages in, at most a batch of them.

        The event loop calls again for those that are left. The library reads
        one message ahead for each connection. While messages wait to be
        handled, this waits for the next one, so that an urgent message does
        not stay behind the others of its sender for many turns of the loop.
        """
        is_behind = self._queue.is_behind
        for _ in range(_MAX_RECEIVE_BATCH):
            if self._receive_socket is None:
                return
            try:
                received = self._receive_socket.recv(block=is_behind)
            except pynng.NNGException:
                return
            self._take_in(received)

    def _take_in(self, received: bytes) -> None:
        envelope = decode_envelope(received)
        if envelope is None:
            self.traffic_counters.dropped_messages += 1
            return
        self.traffic_counters.count_received(envelope.channel, len(received))
        self._learn_address(envelope.sender, envelope.sender_address)
        self._queue.add(envelope)

    def _handle_message(self, envelope: Envelope) -> None:
        if envelope.channel is Channel.probe:
            self._handle_probe(envelope)
            return
        receiver = self._receivers.get(envelope.channel)
        if receiver is not None:
            receiver(envelope.sender, envelope.payload)

    def _learn_address(self, sender: str, address: str) -> None:
        if sender in self._configured_addresses or not self._is_address_allowed(
            address
        ):
            return
        if self._learned_addresses.get(sender) == address:
            return
        if len(self._learned_addresses) >= _MAX_LEARNED_ADDRESSES:
            self._learned_addresses.pop(next(iter(self._learned_addresses)))
        self._learned_addresses[sender] = address

    def _get_or_open_socket(self, peer: str, address: str) -> PeerSocket:
        opened = self._peer_sockets.get(peer)
        if opened is not None and opened.address != address:
            opened.close()
            opened = None
        if opened is None:
            tls = (
                None
                if self._tls is None
                else self._tls.create_client_config(peer)
            )
            opened = PeerSocket(address, tls, _now())
            self._peer_sockets[peer] = opened
        return opened

    def _handle_probe(self, envelope: Envelope) -> None:
        """Reply to a probe, or record the reply to one."""
        if envelope.payload == _PROBE:
            self.send(envelope.sender, Channel.probe, _PROBE_REPLY)
            return
        opened = self._peer_sockets.get(envelope.sender)
        if opened is not None:
            opened.liveness.record_reply()

    def _probe_peers(self) -> None:
        now = _now()
        pace = ProbePace.for_connections(len(self._peer_sockets))
        for peer, opened in tuple(self._peer_sockets.items()):
            if opened.liveness.is_silent(now):
                # The next message to the peer opens a new connection.
                self._peer_sockets.pop(peer).close()
                self.traffic_counters.renewed_connections += 1
            elif opened.liveness.start_probe_if_due(now, pace):
                self.send(peer, Channel.probe, _PROBE)
        loop = asyncio.get_running_loop()
        self._probe_timer = loop.call_later(
            PROBE_INTERVAL_S,
            self._probe_peers,
        )

    def _is_address_allowed(self, address: str) -> bool:
        parsed = parse_address(address).value_or(None)
        if parsed is None:
            return False
        return (
            self._is_plain_allowed
            or self._tls is not None
            or parsed.is_loopback
        )

    def _check_address_allowed(self, address: str) -> None:
        if not self._is_address_allowed(address):
            raise OSError(
                f'peers address {address} is not a loopback address:'
                ' configure [tls] or set plain_outside_loopback',
            )

    def _reload_certificates_periodically(self) -> None:
        self.reload_certificates()
        loop = asyncio.get_running_loop()
        self._reload_timer = loop.call_later(
            self._reload_interval_s,
            self._reload_certificates_periodically,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
