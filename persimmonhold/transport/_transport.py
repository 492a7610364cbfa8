"""What the parts ask of the transport."""

import abc
from collections.abc import Callable
from typing import TypeAlias

from persimmonhold.transport._channel import Channel

Receiver: TypeAlias = Callable[[str, bytes], None]


class Transport(abc.ABC):
    """Best-effort, bounded, one-way messages between VMs by name.

    A message may be lost, late or doubled; who needs an answer correlates
    by ids of its own. Nothing blocks and nothing is resent here.
    """

    @abc.abstractmethod
    def send(self, peer: str, channel: Channel, payload: bytes) -> None:
        """Queue a message for the VM `peer`; drops it when full."""

    @abc.abstractmethod
    def subscribe(self, channel: Channel, receiver: Receiver) -> None:
        """Pass messages of a channel to `receiver` as (peer, payload)."""

    @abc.abstractmethod
    def set_peers(self, addresses: dict[str, str]) -> None:
        """Replace the known VMs: `ip:port` by name."""
