"""The section `[peers]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta

from persimmonhold.settings._address_text import AddressText


@final
class PeerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses between VMs, the control group and timings of consensus."""

    address: Annotated[
        AddressText,
        Meta(description='Address to listen on for other VMs; ip:port.'),
    ] = ''
    control: Annotated[
        str,
        Meta(
            pattern=r'^$|^[a-z0-9-]+@[^,@\s]+(,\s*[a-z0-9-]+@[^,@\s]+)*$',
            description='Control VMs at the first start; name@ip:port, ...',
        ),
    ] = ''
    voters: Annotated[
        int,
        Meta(
            ge=0, le=9, description='Voting control VMs; 0: as many as listed.'
        ),
    ] = 0
    first_start: Annotated[
        bool,
        Meta(
            description='Whether a VM with an empty data folder may bootstrap '
            'the group.',
        ),
    ] = True
    replacement_ms: Annotated[
        int,
        Meta(
            ge=500,
            le=3_600_000,
            description='Silence of a voter before a spare replaces it.',
        ),
    ] = 30_000
    verification_ms: Annotated[
        int,
        Meta(
            ge=100,
            le=60_000,
            description='How long a started control VM needs the answers of a '
            'quorum to vote; then one fewer is enough.',
        ),
    ] = 5000
    heartbeat_ms: Annotated[
        int,
        Meta(ge=10, le=10_000, description='Time between heartbeats.'),
    ] = 100
    election_timeout_ms: Annotated[
        int,
        Meta(
            ge=50,
            le=60_000,
            description='Silence of the leader before an election.',
        ),
    ] = 500
    acceptance_silence_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=60_000,
            description='Silence after which a VM that lacks a change does '
            'not delay its acceptance; 0: a majority must hold each change.',
        ),
    ] = 0
    leader_proof_ms: Annotated[
        int,
        Meta(
            ge=0,
            le=60_000,
            description='Age of the proof of control from which a VM asks the '
            'control leader for one; 0: it waits for heartbeats.',
        ),
    ] = 0
    plain_outside_loopback: Annotated[
        bool,
        Meta(description='Allow addresses beyond loopback without TLS.'),
    ] = False

    @property
    def control_addresses(self) -> dict[str, str]:
        """The addresses of the control VMs at the first start, by VM name."""
        addresses: dict[str, str] = {}
        for part in self.control.split(','):
            name, _, address = part.strip().partition('@')
            if name:
                addresses[name] = address
        return addresses
