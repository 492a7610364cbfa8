"""Checks the engine specifications of a routing document.

The leader checks a document by this before it proposes it. Replicas do not
check it again: those of an older build would accept what others refuse.
"""

import math
from collections.abc import Iterator

from persimmonhold.routes._engine_spec import EngineSpec
from persimmonhold.routes._model_spec import ModelSpec
from persimmonhold.routes._routing_document import RoutingDocument


def find_engine_error(document: RoutingDocument) -> str:
    """Return why a service cannot run its models, or an empty string."""
    errors = (
        f'service {service.name}: {error}'
        for service in document.services
        if service.engine is not None
        for error in _find_errors(service.engine)
    )
    return next(errors, '')


def _find_errors(spec: EngineSpec) -> Iterator[str]:
    if spec.slots < 1:
        yield f'{spec.slots} slots: expected 1 or more'
    if not _is_size(spec.weights_mb) or not _is_size(spec.store_loads_per_s):
        yield 'the memory and the rate of loads have to be finite, from 0'
    names = [model.name for model in spec.models]
    if len(set(names)) != len(names):
        yield 'two models have the same name'
    for model in spec.models:
        yield from _find_model_errors(model, spec)


def _find_model_errors(model: ModelSpec, spec: EngineSpec) -> Iterator[str]:
    sizes = (model.weights_mb, model.store_load_s, model.adapter_mb)
    if not all(_is_size(size) for size in sizes) or model.adapters < 0:
        yield f'model {model.name}: sizes have to be finite, from 0'
    if model.weights_mb > spec.weights_mb:
        yield (
            f'model {model.name}: {model.weights_mb:.0f} MB of weights, and'
            f' no upstream holds more than {spec.weights_mb:.0f} MB'
        )


def _is_size(number: float) -> bool:
    return math.isfinite(number) and number >= 0
