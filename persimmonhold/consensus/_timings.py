"""Intervals and size limits of a replica."""

from typing import final

import msgspec


@final
class Timings(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals in seconds, sizes in bytes.

    A follower starts an election after one to two election timeouts without
    a message from the leader. The leader's lease is `lease_fraction` of an
    election timeout; the rest allows for clocks that run at different rates.
    After `verification_timeout_s` without enough answers about its start, a
    replica requires one answer fewer. A voter that was silent for
    `replacement_timeout_s` is replaced. A message holds one snapshot
    chunk, or entries of at most `max_append_bytes` or a single larger one; no
    entries are sent to a member that has `max_in_flight_entries` or
    `max_in_flight_bytes` of them unacknowledged.
    """

    heartbeat_s: float = 0.1
    election_timeout_s: float = 0.5
    lease_fraction: float = 0.9
    verification_timeout_s: float = 5.0
    replacement_timeout_s: float = 30.0
    max_append_bytes: int = 262_144
    max_in_flight_entries: int = 4096
    max_in_flight_bytes: int = 2_000_000
    snapshot_chunk_bytes: int = 65_536
