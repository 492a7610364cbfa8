"""The properties of a request that the router chooses an upstream by."""

from typing import final

import msgspec

from persimmonhold.catalogue import ServiceClass


@final
class RouteRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for a model, an adapter or a plain service, to be routed.

    `excluded_upstreams` have failed this request; `full_upstreams` accept no
    more requests of its class now. `base` is the base model of an adapter,
    else empty. `prefix_hashes` identify the leading blocks of the prompt in
    a prefix cache.
    """

    target: str
    service_class: ServiceClass
    base: str = ''
    is_service: bool = False
    prompt_tokens: int = 0
    prefix_hashes: tuple[str, ...] = ()
    excluded_upstreams: frozenset[str] = frozenset()
    full_upstreams: frozenset[str] = frozenset()
