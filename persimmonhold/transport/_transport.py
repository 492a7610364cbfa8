"""Interface of the message transport between VMs."""

import abc
from collections.abc import Callable
from typing import TypeAlias

from persimmonhold.transport._channel import Channel

Receiver: TypeAlias = Callable[[str, bytes], None]


class Transport(abc.ABC):
    """Sends best-effort one-way messages to VMs by name, with bounded queues.

    A message can be lost, delayed or duplicated; a sender that needs a reply
    has to match it by an id of its own. No call blocks, and nothing is
    resent.
    """

    @abc.abstractmethod
    def send(self, peer: str, channel: Channel, payload: bytes) -> None:
        """Queue a message for the VM `peer`; drop it if the queue is full."""

    @abc.abstractmethod
    def set_receiver(self, channel: Channel, receiver: Receiver) -> None:
        """Pass messages of a channel to `receiver` as (peer, payload).

        A channel has one receiver: a later call replaces the earlier one.
        """

    @abc.abstractmethod
    def set_peers(self, addresses: dict[str, str]) -> None:
        """Replace the addresses of the known VMs: `ip:port` by name."""
