"""The memory that catalogue entries take."""

from persimmonhold.catalogue import AdapterEntry, Catalogue, ModelEntry


def memory_bytes(catalogue: Catalogue, target: str) -> int:
    """Return what a model or adapter takes of accelerator memory."""
    entry = catalogue.find(target)
    if isinstance(entry, ModelEntry):
        return entry.weight_bytes + entry.kv_floor_bytes
    if isinstance(entry, AdapterEntry):
        return entry.weight_bytes
    return 0


def adapters_by_base(catalogue: Catalogue) -> dict[str, list[AdapterEntry]]:
    """Return the adapters of every base model that has any."""
    found: dict[str, list[AdapterEntry]] = {}
    for adapter in catalogue.of_type(AdapterEntry):
        found.setdefault(adapter.base, []).append(adapter)
    return found
