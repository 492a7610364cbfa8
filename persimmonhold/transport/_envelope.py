"""Encoding of a message between processes.

A message consists of one byte for the channel; the name and the `ip:port` of
the sender, each preceded by one byte with its length; and the payload.
"""

from typing import Final, final

import msgspec

from persimmonhold.transport._channel import Channel

_CHANNELS: Final = frozenset(channel.value for channel in Channel)


@final
class Envelope(msgspec.Struct, frozen=True):
    """A message with the name and the address of its sender.

    The address is an `ip:port`, or empty if the sender left it out.
    """

    channel: Channel
    sender: str
    sender_address: str
    payload: bytes


def encode_envelope_head(channel: Channel, sender: str, address: str) -> bytes:
    """Encode the channel and the sender: the bytes before the payload."""
    texts = (sender.encode('ascii'), address.encode('ascii'))
    framed = b''.join(bytes((len(text),)) + text for text in texts)
    return bytes((channel,)) + framed


def decode_envelope(received: bytes) -> Envelope | None:
    """Return the message, or None if the bytes are not a valid message."""
    if not received or received[0] not in _CHANNELS:
        return None
    try:
        sender, start = _read_text(received, 1)
        address, start = _read_text(received, start)
    except (IndexError, UnicodeDecodeError):
        return None
    return Envelope(Channel(received[0]), sender, address, received[start:])


def _read_text(received: bytes, start: int) -> tuple[str, int]:
    end = start + 1 + received[start]
    if end > len(received):
        raise IndexError
    return received[start + 1 : end].decode('ascii'), end
