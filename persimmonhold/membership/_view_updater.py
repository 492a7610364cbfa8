"""Updates the view of a VM from other VMs whose view is newer.

Invariant: the index of the view never decreases. Changes and snapshots that
are older than the view are counted and ignored.
"""

import math
from typing import final

import msgspec

from persimmonhold.control.machine import ViewState
from persimmonhold.membership._compression import decompress
from persimmonhold.membership._messages import (
    Pull,
    SnapshotPart,
    ViewChanges,
)
from persimmonhold.messages import ControlView


@final
class ViewUpdater:
    """Pulls changes or a snapshot from one VM at a time.

    `stale_view_count` counts the received changes and snapshots that were
    older than the view.
    """

    __slots__ = (
        '_snapshot_parts',
        '_pulled_peer',
        '_pull_timeout_s',
        '_pulled_at',
        '_snapshot_index',
        'stale_view_count',
        'view',
    )

    def __init__(self, view: ViewState, pull_timeout_s: float) -> None:
        """Create an updater of `view`."""
        self.view = view
        self.stale_view_count = 0
        self._pulled_at = -math.inf
        self._pull_timeout_s = pull_timeout_s
        self._snapshot_index = 0
        self._pulled_peer = ''
        self._snapshot_parts: list[bytes] = []

    def start_pull(self, now: float, peer: str) -> Pull | None:
        """Return the request to send to `peer`, whose view is newer.

        Returns None while another request has neither been answered nor
        timed out.
        """
        if now - self._pulled_at < self._pull_timeout_s:
            return None
        if peer != self._pulled_peer:
            # Parts of two VMs cannot be combined: they may encode the same
            # view in a different order.
            self._discard_parts()
        self._pulled_at = now
        self._pulled_peer = peer
        return self._build_pull()

    def apply_changes(self, message: ViewChanges) -> bool:
        """Apply new changes; return whether earlier changes are missing."""
        self._pulled_at = -math.inf
        changes = message.changes
        if changes and changes[-1].index < self.view.index:
            self.stale_view_count += 1
        for change in changes:
            if change.index > self.view.index and not self.view.apply_change(
                change
            ):
                return True
        return False

    def add_snapshot_part(
        self,
        now: float,
        peer: str,
        part: SnapshotPart,
    ) -> Pull | None:
        """Add a part of a snapshot; apply the snapshot once it is complete.

        A part that does not follow the last one, or of another VM than the
        one pulled from, is ignored. Returns the request for the next part, or
        None if there is none to request.
        """
        if peer != self._pulled_peer:
            return None
        self._pulled_at = -math.inf
        if part.snapshot_index <= self.view.index:
            self.stale_view_count += part.snapshot_index < self.view.index
            self._discard_parts()
            return None
        if part.part_index == 0:
            self._discard_parts()
            self._snapshot_index = part.snapshot_index
        if (
            part.snapshot_index != self._snapshot_index
            or part.part_index != len(self._snapshot_parts)
        ):
            return None
        self._snapshot_parts.append(part.payload)
        if len(self._snapshot_parts) == part.part_count:
            self._apply_snapshot(is_compressed=part.is_compressed)
            return None
        self._pulled_at = now
        return self._build_pull()

    def _build_pull(self) -> Pull:
        return Pull(
            index=self.view.index,
            snapshot_index=self._snapshot_index,
            part_index=len(self._snapshot_parts),
            accepts_compressed=True,
        )

    def _apply_snapshot(self, *, is_compressed: bool) -> None:
        encoded = b''.join(self._snapshot_parts)
        self._discard_parts()
        try:
            if is_compressed:
                encoded = decompress(encoded)
            view = msgspec.msgpack.decode(encoded, type=ControlView)
        except msgspec.DecodeError:
            return
        self.view.apply_view(view)

    def _discard_parts(self) -> None:
        self._snapshot_index = 0
        self._snapshot_parts = []
