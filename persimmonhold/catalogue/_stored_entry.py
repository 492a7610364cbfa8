"""A catalogue entry with its revision."""

from typing import final

import msgspec

from persimmonhold.catalogue._entry import CatalogueEntry


@final
class StoredEntry(msgspec.Struct, frozen=True):
    """An accepted entry and the catalogue revision at which it was put."""

    revision: int
    entry: CatalogueEntry
