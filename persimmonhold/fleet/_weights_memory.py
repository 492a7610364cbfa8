"""How much room an upstream has for weights."""

from persimmonhold.fleet._upstream_ledger import UpstreamLedger
from persimmonhold.routes import EngineSpec


def model_memory_mb(spec: EngineSpec, model: str) -> float:
    """Return the room of a model with as many adapters as may be there."""
    found = spec.find_model(model)
    if found is None:
        # A model that is no longer configured counts as the largest one.
        return max((one.weights_mb for one in spec.models), default=0)
    adapters = spec.adapter_slots if found.adapters else 0
    return found.weights_mb + adapters * found.adapter_mb


def free_memory_mb(spec: EngineSpec, ledger: UpstreamLedger) -> float:
    """Return the room that nothing takes, in megabytes."""
    used = sum(model_memory_mb(spec, model) for model in ledger.models)
    return spec.weights_mb - used
