"""The section `[callers]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta

from persimmonhold.settings._address_text import AddressText


@final
class CallerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Address, limits and drain times of the entry, which serves callers."""

    address: Annotated[
        AddressText,
        Meta(description='Address to listen on; ip:port.'),
    ] = ''
    weight: Annotated[
        float,
        Meta(gt=0, le=100, description='Relative share of callers.'),
    ] = 1
    directory_ttl_s: Annotated[
        float,
        Meta(gt=0, le=3600, description='How long callers cache addresses.'),
    ] = 10
    drain_margin_s: Annotated[
        float,
        Meta(
            ge=0,
            le=600,
            description='How long a drain accepts callers beyond the TTL.',
        ),
    ] = 2
    drain_timeout_s: Annotated[
        float,
        Meta(
            gt=0,
            le=86_400,
            description='Longest wait for running requests in a drain.',
        ),
    ] = 600
    max_head_bytes: Annotated[
        int,
        Meta(ge=1024, le=1_048_576, description='Largest request head.'),
    ] = 16_384
    max_body_bytes: Annotated[
        int,
        Meta(ge=1024, le=268_435_456, description='Largest request body.'),
    ] = 4_194_304
    head_timeout_s: Annotated[
        float,
        Meta(gt=0, le=300, description='Longest wait for a request head.'),
    ] = 10
    body_timeout_s: Annotated[
        float,
        Meta(gt=0, le=300, description='Longest wait for a request body.'),
    ] = 30
    max_connections: Annotated[
        int,
        Meta(
            ge=1, le=100_000, description='Maximum of open caller connections.'
        ),
    ] = 4096
