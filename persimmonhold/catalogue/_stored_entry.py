"""A catalogue entry together with its revision."""

from typing import final

import msgspec

from persimmonhold.catalogue._entry import CatalogueEntry


@final
class StoredEntry(msgspec.Struct, frozen=True):
    """An accepted entry and the catalogue revision that accepted it."""

    revision: int
    entry: CatalogueEntry
