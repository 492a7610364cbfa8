"""The union of all catalogue entries."""

from typing import TypeAlias

from persimmonhold.catalogue._adapter_entry import AdapterEntry
from persimmonhold.catalogue._model_entry import ModelEntry
from persimmonhold.catalogue._service_entry import ServiceEntry
from persimmonhold.catalogue._upstream_entry import UpstreamEntry

CatalogueEntry: TypeAlias = (
    ModelEntry | AdapterEntry | ServiceEntry | UpstreamEntry
)
