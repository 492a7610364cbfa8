"""Accelerator memory needed by catalogue entries."""

from persimmonhold.catalogue import AdapterEntry, Catalogue, ModelEntry


def required_memory_bytes(catalogue: Catalogue, target: str) -> int:
    """Return the accelerator memory that a copy of a target needs, in bytes.

    The memory of a model does not include its adapters. Returns 0 if `target`
    is neither a model nor an adapter in the catalogue.
    """
    entry = catalogue.find(target)
    if isinstance(entry, ModelEntry):
        return entry.weight_bytes + entry.kv_floor_bytes
    if isinstance(entry, AdapterEntry):
        return entry.weight_bytes
    return 0


def group_adapters_by_base(
    catalogue: Catalogue,
) -> dict[str, list[AdapterEntry]]:
    """Return the adapters in the catalogue, grouped by base model."""
    found: dict[str, list[AdapterEntry]] = {}
    for adapter in catalogue.entries_of_type(AdapterEntry):
        found.setdefault(adapter.base, []).append(adapter)
    return found
