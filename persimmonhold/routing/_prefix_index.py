"""Tracks the prefix cache of one upstream from its cache events.

Invariants: at most `max_blocks` blocks are kept; the least recently confirmed
are evicted first. A lost cache event invalidates every block: an invalidated
block counts as absent until a later event, or a request of this entry that
produced a first token, confirms it. A restart removes all blocks.
"""

from collections.abc import Sequence
from typing import Final, final

from persimmonhold.messages import CacheEventPage

_HEX_BASE: Final = 16


@final
class PrefixIndex:
    """The prompt blocks that one upstream is expected to have cached.

    Each block is stored by its hash with the epoch that last confirmed it. A
    block of an earlier epoch is invalidated. A gap in the events starts a new
    epoch, so that invalidating all blocks takes constant time. `gap_count`
    counts the gaps. `boot_id` names the start of the upstream whose events are
    applied, and `last_sequence` is the sequence number of the last event of
    that start.
    """

    __slots__ = (
        '_epochs_by_block',
        '_max_blocks',
        '_epoch',
        'boot_id',
        'gap_count',
        'last_sequence',
    )

    def __init__(self, max_blocks: int) -> None:
        """Create an empty index for at most `max_blocks` blocks."""
        self.boot_id = ''
        self.gap_count = 0
        self.last_sequence = 0
        self._epochs_by_block: dict[int, int] = {}
        self._max_blocks = max_blocks
        self._epoch = 0

    def __len__(self) -> int:
        """Return the number of blocks kept, invalidated ones included."""
        return len(self._epochs_by_block)

    def apply_events(self, page: CacheEventPage) -> None:
        """Apply a page of cache events.

        Events that were applied before are skipped. A missing event
        invalidates all blocks; a restart of the upstream removes them.
        """
        if page.boot_id != self.boot_id:
            self._clear_for_new_boot(page.boot_id)
        for event in page.events:
            if event.sequence <= self.last_sequence:
                continue
            if event.sequence != self.last_sequence + 1:
                self._invalidate_blocks()
            self.last_sequence = event.sequence
            block = int(event.prefix_hash, _HEX_BASE)
            if event.stored:
                self._store_block(block)
            else:
                self._epochs_by_block.pop(block, None)
        if page.last > self.last_sequence:
            self.last_sequence = page.last
            self._invalidate_blocks()

    def confirm_blocks(self, prefixes: Sequence[str]) -> None:
        """Record as cached the blocks of a prompt that was just prefilled."""
        for prefix in prefixes:
            self._store_block(int(prefix, _HEX_BASE))

    def count_cached_blocks(self, blocks: Sequence[int]) -> int:
        """Return how many of a prompt's leading blocks should be cached."""
        for position, block in enumerate(blocks):
            if self._epochs_by_block.get(block) != self._epoch:
                return position
        return len(blocks)

    def _store_block(self, block: int) -> None:
        self._epochs_by_block.pop(block, None)
        self._epochs_by_block[block] = self._epoch
        if len(self._epochs_by_block) > self._max_blocks:
            self._epochs_by_block.pop(next(iter(self._epochs_by_block)))

    def _invalidate_blocks(self) -> None:
        self.gap_count += 1
        self._epoch += 1

    def _clear_for_new_boot(self, boot_id: str) -> None:
        self.boot_id = boot_id
        self.last_sequence = 0
        self._epochs_by_block.clear()
