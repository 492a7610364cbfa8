"""Message transport between the processes of the system."""

from persimmonhold.transport._channel import Channel
from persimmonhold.transport._envelope import (
    Envelope,
    decode_envelope,
    encode_envelope_head,
)
from persimmonhold.transport._liveness_monitor import LivenessMonitor
from persimmonhold.transport._nng_transport import NngTransport
from persimmonhold.transport._traffic_counters import TrafficCounters
from persimmonhold.transport._transport import Receiver, Transport

__all__ = (
    'TrafficCounters',
    'Channel',
    'Envelope',
    'LivenessMonitor',
    'NngTransport',
    'Receiver',
    'Transport',
    'decode_envelope',
    'encode_envelope_head',
)
