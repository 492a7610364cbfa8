"""The catalogue: all accepted entries at one revision.

Invariant: a catalogue is immutable; each accepted change creates a new one
whose revision is one higher.
"""

from collections.abc import Iterator
from typing import TypeVar, final

import msgspec

from persimmonhold.catalogue._entry import CatalogueEntry
from persimmonhold.catalogue._stored_entry import StoredEntry
from persimmonhold.catalogue._upstream_entry import UpstreamEntry

_EntryT = TypeVar('_EntryT')


@final
class Catalogue(msgspec.Struct, frozen=True):
    """One revision of the catalogue, with its entries by name."""

    revision: int = 0
    entries: dict[str, StoredEntry] = {}

    def find(self, name: str) -> CatalogueEntry | None:
        """Return the named entry, or None."""
        stored = self.entries.get(name)
        return stored.entry if stored else None

    def entry_revision(self, name: str) -> int:
        """Return the revision of the named entry, or 0 if it does not exist."""
        stored = self.entries.get(name)
        return stored.revision if stored else 0

    def entries_of_type(self, entry_type: type[_EntryT]) -> Iterator[_EntryT]:
        """Yield the entries of one type, sorted by name."""
        for name in sorted(self.entries):
            entry = self.entries[name].entry
            if isinstance(entry, entry_type):
                yield entry

    def service_replicas(self, service: str) -> tuple[UpstreamEntry, ...]:
        """Return the upstreams that are replicas of a plain service."""
        return tuple(
            upstream
            for upstream in self.entries_of_type(UpstreamEntry)
            if upstream.service == service
        )

    def with_entry(self, entry: CatalogueEntry) -> 'Catalogue':
        """Return the next revision, with `entry` added or replaced."""
        revision = self.revision + 1
        stored = StoredEntry(revision, entry)
        return Catalogue(revision, {**self.entries, entry.name: stored})

    def without_entry(self, name: str) -> 'Catalogue':
        """Return the next revision, without the named entry."""
        entries = dict(self.entries)
        entries.pop(name, None)
        return Catalogue(self.revision + 1, entries)
