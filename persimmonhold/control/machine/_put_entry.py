"""The command that creates or replaces a catalogue entry."""

from typing import final

import msgspec

from persimmonhold.catalogue import CatalogueEntry


@final
class PutEntry(msgspec.Struct, frozen=True, kw_only=True, tag='put_entry'):
    """Puts an entry if its revision is `expected_revision`; 0 creates it."""

    operator: str
    command_id: str
    at_ms: int
    expected_revision: int
    entry: CatalogueEntry
    reason: str = ''

    @property
    def name(self) -> str:
        """The name of the entry."""
        return self.entry.name
