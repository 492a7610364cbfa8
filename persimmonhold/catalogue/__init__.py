"""The catalogue of models, adapters, services and upstreams."""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports
from persimmonhold.catalogue._accelerator import Accelerator
from persimmonhold.catalogue._adapter_entry import AdapterEntry
from persimmonhold.catalogue._bounds import Bounds
from persimmonhold.catalogue._call_rule import CallRule
from persimmonhold.catalogue._catalogue import Catalogue
from persimmonhold.catalogue._entry import CatalogueEntry
from persimmonhold.catalogue._limits import Limits
from persimmonhold.catalogue._model_entry import ModelEntry
from persimmonhold.catalogue._service_class import ServiceClass
from persimmonhold.catalogue._service_entry import ServiceEntry
from persimmonhold.catalogue._stored_entry import StoredEntry
from persimmonhold.catalogue._upstream_entry import UpstreamEntry

if TYPE_CHECKING:
    from persimmonhold.catalogue._validation import (
        validate_entry,
        validate_removal,
    )

__all__ = (
    'Accelerator',
    'AdapterEntry',
    'Bounds',
    'CallRule',
    'Catalogue',
    'CatalogueEntry',
    'Limits',
    'ModelEntry',
    'ServiceClass',
    'ServiceEntry',
    'StoredEntry',
    'UpstreamEntry',
    'validate_entry',
    'validate_removal',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'validate_entry': '_validation',
            'validate_removal': '_validation',
        },
    )
