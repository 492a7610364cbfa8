"""Fleets of the placement benchmark and their catalogues."""

import random
from typing import Final, NamedTuple

from persimmonhold.catalogue import (
    Accelerator,
    AdapterEntry,
    Catalogue,
    ModelEntry,
    UpstreamEntry,
)
from persimmonhold.placement import PRESETS, Place
from persimmonhold.settings import PlacementSettings

_GIGABYTE: Final = 1_000_000_000
MEMORY_BYTES: Final = 80 * _GIGABYTE
_ADAPTER_BYTES: Final = _GIGABYTE // 5


class Fleet(NamedTuple):
    """Sizes of a deployment and its placement settings."""

    name: str
    accelerators: int
    domains: int
    models: int
    adapters: int
    settings: PlacementSettings

    @property
    def load_s(self) -> float:
        """Duration of one load when the weight store is fully used."""
        settings = self.settings
        return settings.loads_at_once / settings.loads_per_second


_LETTER_SETTINGS: Final = PlacementSettings(
    move_cost=0.5,
    attainment_weight=2,
    loads_per_second=30,
    loads_at_once=40,
    adapters_in_flight=300,
)
FLEETS: Final = (
    Fleet('hoogwerk', 9, 4, 20, 120, PRESETS['hoogwerk']),
    Fleet('levy', 9, 3, 30, 120, PRESETS['levy']),
    Fleet('letter', 90, 8, 220, 220, _LETTER_SETTINGS),
)


def model_name(index: int) -> str:
    """Return the catalogue name of the model with this index."""
    return f'model-{index:03}'


def build_catalogue(fleet: Fleet, seed: int) -> Catalogue:
    """Return a catalogue of single-accelerator engines, models, adapters."""
    rng = random.Random(seed)
    catalogue = Catalogue()
    for index in range(fleet.accelerators):
        catalogue = catalogue.with_entry(
            UpstreamEntry(
                name=f'engine-{index:03}',
                owner='bench',
                address='127.0.0.1:1',
                failure_domain=f'domain-{index % fleet.domains}',
                accelerators=(
                    Accelerator(name='a0', memory_bytes=MEMORY_BYTES),
                ),
            ),
        )
    for index in range(fleet.models):
        catalogue = catalogue.with_entry(
            ModelEntry(
                name=model_name(index),
                owner='bench',
                version='1',
                weight_bytes=rng.randint(10, 16) * _GIGABYTE,
                kv_floor_bytes=3 * _GIGABYTE,
            ),
        )
    for index in range(fleet.adapters):
        catalogue = catalogue.with_entry(
            AdapterEntry(
                name=f'adapter-{index:03}',
                owner='bench',
                version='1',
                base=model_name(index % fleet.models),
                weight_bytes=_ADAPTER_BYTES,
            ),
        )
    return catalogue


def list_places(catalogue: Catalogue) -> list[Place]:
    """Return the place of every accelerator in the catalogue."""
    return [
        Place(upstream.name, accelerator.name)
        for upstream in catalogue.entries_of_type(UpstreamEntry)
        for accelerator in upstream.accelerators
    ]
