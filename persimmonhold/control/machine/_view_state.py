"""The control view, updated incrementally.

Invariants: the index only rises; equal contents have equal digests, in
whatever order the changes came. The cost of a change depends on the items
that it changes; the `ControlView` is built only on request. Control replicas
and the agents of all VMs use this class.
"""

import hashlib
from collections import deque
from typing import Final, TypeAlias, final

import msgspec

from persimmonhold.catalogue import Catalogue, StoredEntry
from persimmonhold.messages import ControlView, Copy, ViewChange, VmRecord
from persimmonhold.routes import RoutingDocument

CopyKey: TypeAlias = tuple[str, str, str, str]
_ViewItem: TypeAlias = StoredEntry | Copy | VmRecord | RoutingDocument
_DIGEST_BYTES: Final = 8
# Limits the routing documents in the change log, in number and encoded size. A
# VM that lacks more changes gets the view, which has a single document.
_MAX_LOGGED_DOCUMENTS: Final = 16
_MAX_LOGGED_DOCUMENT_BYTES: Final = 2_097_152
_NO_ROUTES: Final = RoutingDocument()


@final
class ViewState:
    """The current control view, with a log of its recent changes."""

    __slots__ = (
        '_changes',
        '_logged_document_sizes',
        '_cached_view',
        'catalogue',
        'copies',
        'digest',
        'index',
        'routes',
        'vms',
    )

    def __init__(self, change_log_length: int) -> None:
        """Create an empty view that logs up to `change_log_length` changes."""
        self.index = 0
        self.digest = 0
        self.catalogue = Catalogue()
        self.copies: dict[CopyKey, Copy] = {}
        self.vms: dict[str, VmRecord] = {}
        self.routes = RoutingDocument()
        self._changes: deque[ViewChange] = deque(maxlen=change_log_length)
        self._logged_document_sizes: deque[int] = deque()
        self._cached_view: ControlView | None = None

    def view(self) -> ControlView:
        """Return the current view."""
        if self._cached_view is None:
            self._cached_view = ControlView(
                index=self.index,
                catalogue=self.catalogue,
                copies=tuple(self.copies.values()),
                vms=tuple(self.vms.values()),
                digest=self.digest,
                routes=self.routes,
            )
        return self._cached_view

    def changes_since(self, index: int) -> tuple[ViewChange, ...] | None:
        """Return the changes after `index`, or None if some are not kept."""
        found: list[ViewChange] = []
        if index == self.index:
            return ()
        for change in reversed(self._changes):
            found.append(change)
            if change.previous == index:
                return tuple(reversed(found))
        return None

    def apply_change(self, change: ViewChange) -> bool:
        """Apply a change; ignore it and return False if it is not the next."""
        if change.previous != self.index or change.index <= self.index:
            return False
        self._apply_entry(change)
        if change.copy is not None:
            self._apply_copy(change.copy, gone=change.copy_gone)
        if change.vm is not None:
            self._apply_vm(change.vm, gone=change.vm_gone)
        if change.routes is not None:
            self._update_digest(self.routes, change.routes)
            self.routes = change.routes
        self.index = change.index
        self._append_change(change)
        self._cached_view = None
        return True

    def apply_view(self, view: ControlView) -> bool:
        """Replace the view; return False if `view` is not newer or is corrupt.

        It is corrupt if its digest does not match its contents.
        """
        digest = view_digest(view)
        if view.index <= self.index or digest != view.digest:
            return False
        self.index = view.index
        self.catalogue = view.catalogue
        self.copies = {copy_key(copy): copy for copy in view.copies}
        self.vms = {vm.name: vm for vm in view.vms}
        self.routes = view.routes
        self.digest = digest
        self._changes.clear()
        self._logged_document_sizes.clear()
        self._cached_view = view
        return True

    def _append_change(self, change: ViewChange) -> None:
        """Log a change, and drop the oldest ones beyond the limits."""
        if not self._changes.maxlen:
            return
        if len(self._changes) == self._changes.maxlen:
            self._drop_oldest_change()
        self._changes.append(change)
        if change.routes is not None:
            encoded = msgspec.msgpack.encode(change.routes)
            self._logged_document_sizes.append(len(encoded))
        while self._exceeds_bounds():
            self._drop_oldest_change()

    def _exceeds_bounds(self) -> bool:
        """Return whether the log has too many documents, or too long ones.

        A single one is kept, however long it is.
        """
        count = len(self._logged_document_sizes)
        size_bytes = sum(self._logged_document_sizes)
        return count > _MAX_LOGGED_DOCUMENTS or (
            count > 1 and size_bytes > _MAX_LOGGED_DOCUMENT_BYTES
        )

    def _drop_oldest_change(self) -> None:
        if self._changes.popleft().routes is not None:
            self._logged_document_sizes.popleft()

    def _apply_entry(self, change: ViewChange) -> None:
        stored = change.stored
        name = change.removed if stored is None else stored.entry.name
        if not name:
            return
        entries = dict(self.catalogue.entries)
        self._update_digest(entries.pop(name, None), stored)
        if stored is not None:
            entries[name] = stored
        self.catalogue = Catalogue(change.revision, entries)

    def _apply_copy(self, copy: Copy, *, gone: bool) -> None:
        key = copy_key(copy)
        self._update_digest(self.copies.pop(key, None), None if gone else copy)
        if not gone:
            self.copies[key] = copy

    def _apply_vm(self, vm: VmRecord, *, gone: bool) -> None:
        self._update_digest(self.vms.pop(vm.name, None), None if gone else vm)
        if not gone:
            self.vms[vm.name] = vm

    def _update_digest(
        self,
        old: _ViewItem | None,
        new: _ViewItem | None,
    ) -> None:
        self.digest ^= _hash_item(old) ^ _hash_item(new)


def copy_key(copy: Copy) -> CopyKey:
    """Return the key that identifies a copy."""
    return (copy.target, copy.version, copy.upstream, copy.accelerator)


def view_digest(view: ControlView) -> int:
    """Return the XOR of the digests of all items of a view."""
    digest = 0
    for stored in view.catalogue.entries.values():
        digest ^= _hash_item(stored)
    for copy in view.copies:
        digest ^= _hash_item(copy)
    for vm in view.vms:
        digest ^= _hash_item(vm)
    return digest ^ _hash_item(view.routes)


def _hash_item(item: _ViewItem | None) -> int:
    if item is None or item == _NO_ROUTES:
        return 0
    encoded = msgspec.msgpack.encode(item)
    hashed = hashlib.blake2b(
        encoded,
        digest_size=_DIGEST_BYTES,
        person=type(item).__name__.encode(),
    )
    return int.from_bytes(hashed.digest(), 'little')
