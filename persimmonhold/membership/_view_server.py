"""Serves changes or parts of a snapshot to VMs that lag behind."""

from typing import Final, final

import msgspec

from persimmonhold.control.machine import ViewState
from persimmonhold.membership._messages import (
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
    """Answers pulls of one view; caches the snapshot sent in parts."""

    __slots__ = ('_encoded_snapshot', '_snapshot_index', '_part_bytes', '_view')

    def __init__(self, view: ViewState, part_bytes: int) -> None:
        """Create a server of `view` with parts of up to `part_bytes`."""
        self._view = view
        self._part_bytes = part_bytes
        self._encoded_snapshot = b''
        self._snapshot_index = 0

    def serve_pull(self, pull: Pull) -> ViewChanges | SnapshotPart | None:
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
                return ViewChanges(changes=_drop_replaced_documents(changes))
        return self._build_snapshot_part(pull)

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
        if (
            pull.snapshot_index != self._snapshot_index
            or not self._encoded_snapshot
        ):
            self._encoded_snapshot = msgspec.msgpack.encode(self._view.view())
            self._snapshot_index = self._view.index
            part = 0
        start = part * self._part_bytes
        return SnapshotPart(
            snapshot_index=self._snapshot_index,
            part_index=part,
            part_count=-(-len(self._encoded_snapshot) // self._part_bytes),
            payload=self._encoded_snapshot[start : start + self._part_bytes],
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
