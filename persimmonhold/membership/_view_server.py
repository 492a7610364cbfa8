"""Serves changes or parts of a snapshot to VMs that lag behind."""

from typing import Final, final

import msgspec

from persimmonhold.control.machine import ViewState
from persimmonhold.membership._compression import compress
from persimmonhold.membership._messages import (
    CompressedChanges,
    Pull,
    SnapshotPart,
    ViewChanges,
)
from persimmonhold.messages import ViewChange

# Up to this many changes are sent as changes, not as a snapshot, however
# small the view is.
_ALWAYS_SENT_CHANGES: Final = 64


@final
class ViewServer:
    """Answers pulls of one view.

    Most VMs lack the same changes at the same time, so the last compressed
    answer is cached with the indexes before and after it. `_snapshots` caches
    the index and the encoded view, plain and compressed.
    """

    __slots__ = ('_changes_answer', '_part_bytes', '_snapshots', '_view')

    def __init__(self, view: ViewState, part_bytes: int) -> None:
        """Create a server of `view` with parts of up to `part_bytes`."""
        self._view = view
        self._part_bytes = part_bytes
        self._changes_answer = ((0, 0), CompressedChanges(payload=b''))
        self._snapshots: dict[bool, tuple[int, bytes]] = {}

    def serve_pull(
        self, pull: Pull
    ) -> ViewChanges | CompressedChanges | SnapshotPart | None:
        """Return the changes or snapshot part that the pulling VM lacks.

        Returns None if the view of that VM is up to date.
        """
        if pull.index >= self._view.index:
            return None
        if not pull.snapshot_index:
            changes = self._view.changes_since(pull.index)
            if changes is not None and self._is_cheaper_than_snapshot(
                len(changes)
            ):
                return self._build_changes(pull, changes)
        return self._build_snapshot_part(pull)

    def _build_changes(
        self, pull: Pull, changes: tuple[ViewChange, ...]
    ) -> ViewChanges | CompressedChanges:
        """Return the changes, compressed if the pulling VM accepts that."""
        if not pull.accepts_compressed:
            return ViewChanges(changes=_drop_replaced_documents(changes))
        key = (pull.index, self._view.index)
        if self._changes_answer[0] != key:
            message = ViewChanges(changes=_drop_replaced_documents(changes))
            payload = compress(msgspec.msgpack.encode(message))
            self._changes_answer = (key, CompressedChanges(payload=payload))
        return self._changes_answer[1]

    def _is_cheaper_than_snapshot(self, change_count: int) -> bool:
        """Return whether the changes are cheaper to send than a snapshot."""
        view = self._view
        items = len(view.catalogue.entries) + len(view.copies) + len(view.vms)
        return change_count <= max(items, _ALWAYS_SENT_CHANGES)

    def _build_snapshot_part(self, pull: Pull) -> SnapshotPart:
        """Return the requested part, or part 0 of a new snapshot.

        A new snapshot is encoded if the requested one is no longer cached.
        """
        part = pull.part_index
        is_compressed = pull.accepts_compressed
        index, encoded = self._snapshots.get(is_compressed, (0, b''))
        if not encoded or pull.snapshot_index != index:
            index = self._view.index
            encoded = msgspec.msgpack.encode(self._view.view())
            if is_compressed:
                encoded = compress(encoded)
            self._snapshots[is_compressed] = (index, encoded)
            part = 0
        start = part * self._part_bytes
        return SnapshotPart(
            snapshot_index=index,
            part_index=part,
            part_count=-(-len(encoded) // self._part_bytes),
            payload=encoded[start : start + self._part_bytes],
            is_compressed=is_compressed,
        )


def _drop_replaced_documents(
    changes: tuple[ViewChange, ...],
) -> tuple[ViewChange, ...]:
    """Return the changes with only the last of their routing documents."""
    newest = max(
        (change.index for change in changes if change.routes is not None),
        default=0,
    )
    return tuple(
        change
        if change.index >= newest
        else msgspec.structs.replace(change, routes=None)
        for change in changes
    )
