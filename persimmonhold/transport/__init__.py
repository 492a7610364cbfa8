"""Messages between the processes of the system."""

from persimmonhold.transport._channel import Channel
from persimmonhold.transport._transport import Receiver, Transport

__all__ = ('Channel', 'Receiver', 'Transport')
