"""Settings of a stand-in, which simulates an upstream or the VM list."""

from typing import Annotated, Literal, final

import msgspec
from msgspec import Meta

from persimmonhold.settings._address_text import AddressText
from persimmonhold.settings._log_settings import LogSettings


@final
class StandinSection(msgspec.Struct, frozen=True, kw_only=True):
    """The section `[standin]`.

    Accelerators, memory, load times, slots and speeds apply to an engine,
    and `call_ms` to a service.
    """

    name: Annotated[
        str,
        Meta(min_length=1, description='Name of the simulated upstream.'),
    ]
    kind: Annotated[
        Literal['engine', 'service', 'vm_list'],
        Meta(description='What the process simulates.'),
    ]
    address: Annotated[
        AddressText,
        Meta(description='Address to listen on; ip:port.'),
    ]
    accelerators: Annotated[
        int,
        Meta(ge=1, le=1024, description='Accelerators of an engine.'),
    ] = 1
    memory_bytes: Annotated[
        int,
        Meta(ge=1, description='Memory of each accelerator.'),
    ] = 80_000_000_000
    load_ms: Annotated[
        float,
        Meta(ge=0, le=600_000, description='Time to load a model.'),
    ] = 300
    adapter_load_ms: Annotated[
        float,
        Meta(ge=0, le=600_000, description='Time to load an adapter.'),
    ] = 8
    slots: Annotated[
        int,
        Meta(ge=1, le=4096, description='Most requests in one batch.'),
    ] = 16
    prefill_tokens_per_second: Annotated[
        float,
        Meta(gt=0, description='Speed of prefill.'),
    ] = 8000
    decode_step_ms: Annotated[
        float,
        Meta(gt=0, le=10_000, description='Time between tokens.'),
    ] = 20
    call_ms: Annotated[
        float,
        Meta(ge=0, le=60_000, description='Time to execute a service call.'),
    ] = 10


@final
class StandinSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The settings file of a stand-in; each field is the section so named."""

    standin: StandinSection
    logs: LogSettings = LogSettings()
