"""A request that asks for admission."""

from typing import final

import msgspec

from persimmonhold.catalogue import Bounds, Limits, ServiceClass


@final
class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What admission knows of a request.

    `deadline` is in the seconds of the entry's clock. `output_tokens` is
    the most that the answer may have. `base` is the model below an adapter,
    else empty. `limits` and `bounds` are those of the catalogue entry.
    """

    request_id: str
    caller: str
    owner: str
    target: str
    service_class: ServiceClass
    deadline: float
    base: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefixes: tuple[str, ...] = ()
    is_idempotent: bool = True
    is_service: bool = False
    limits: Limits = Limits()
    bounds: Bounds = Bounds()
