"""A request submitted to admission."""

from typing import final

import msgspec

from persimmonhold.catalogue import Bounds, Limits, ServiceClass


@final
class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of a request that admission decides by.

    `deadline` is in seconds of the entry's clock. `output_tokens` is the
    maximum length of the answer. `base` is the base model of an adapter,
    otherwise empty. `prefix_hashes` identify the leading blocks of the prompt
    in an upstream's prefix cache. `is_service` is set for a plain service,
    which generates no tokens. `limits` and `bounds` come from the catalogue
    entry of the target.
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
    prefix_hashes: tuple[str, ...] = ()
    is_idempotent: bool = True
    is_service: bool = False
    limits: Limits = Limits()
    bounds: Bounds = Bounds()
