"""Memory that the weights of models and adapters take at an upstream."""

from persimmonhold.fleet._upstream_ledger import UpstreamLedger
from persimmonhold.routes import EngineSpec


def model_memory_mb(spec: EngineSpec, model: str) -> float:
    """Return the megabytes that a model takes with all adapter slots in use."""
    found = spec.find_model(model)
    if found is None:
        # The size of a model removed from the configuration is unknown;
        # assume that of the largest one.
        return max((one.weights_mb for one in spec.models), default=0)
    adapters = spec.adapter_slots if found.adapters else 0
    return found.weights_mb + adapters * found.adapter_mb


def free_memory_mb(spec: EngineSpec, ledger: UpstreamLedger) -> float:
    """Return the megabytes of weights memory that are free."""
    used = sum(model_memory_mb(spec, model) for model in ledger.models)
    return spec.weights_mb - used
