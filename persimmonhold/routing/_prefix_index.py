"""What one upstream is believed to have in its prefix cache.

Invariants: at most `capacity` blocks are remembered, the least recently
confirmed are forgotten first. A lost cache event, or a restart, makes every
belief doubtful: a doubtful block counts as absent until a later event or an
answered request of this entry confirms it.
"""

from collections.abc import Sequence
from typing import Final, final

from persimmonhold.messages import CacheEventPage

_HEXADECIMAL: Final = 16


@final
class PrefixIndex:
    """Blocks by hash, each with the epoch in which it was confirmed.

    A gap starts a new epoch, so that doubt costs constant time.
    """

    __slots__ = (
        '_blocks',
        '_capacity',
        '_epoch',
        'boot_id',
        'gaps',
        'last_sequence',
    )

    def __init__(self, capacity: int) -> None:
        """Create an index that believes nothing."""
        self.boot_id = ''
        self.gaps = 0
        self.last_sequence = 0
        self._blocks: dict[int, int] = {}
        self._capacity = capacity
        self._epoch = 0

    def __len__(self) -> int:
        """Return the number of remembered blocks, doubtful ones included."""
        return len(self._blocks)

    def apply_events(self, page: CacheEventPage) -> None:
        """Take a page of events; older pages than the last are ignored."""
        if page.boot_id != self.boot_id:
            self._restart(page.boot_id)
        for event in page.events:
            if event.sequence <= self.last_sequence:
                continue
            if event.sequence != self.last_sequence + 1:
                self._doubt()
            self.last_sequence = event.sequence
            block = int(event.prefix_hash, _HEXADECIMAL)
            if event.stored:
                self._store(block)
            else:
                self._blocks.pop(block, None)
        if page.last > self.last_sequence:
            self.last_sequence = page.last
            self._doubt()

    def confirm(self, prefixes: Sequence[str]) -> None:
        """Believe in the blocks of a prompt that the upstream has just read."""
        for prefix in prefixes:
            self._store(int(prefix, _HEXADECIMAL))

    def count_cached_blocks(self, blocks: Sequence[int]) -> int:
        """Return how many leading blocks are believed to be cached."""
        for position, block in enumerate(blocks):
            if self._blocks.get(block) != self._epoch:
                return position
        return len(blocks)

    def _store(self, block: int) -> None:
        self._blocks.pop(block, None)
        self._blocks[block] = self._epoch
        if len(self._blocks) > self._capacity:
            self._blocks.pop(next(iter(self._blocks)))

    def _doubt(self) -> None:
        self.gaps += 1
        self._epoch += 1

    def _restart(self, boot_id: str) -> None:
        self.boot_id = boot_id
        self.last_sequence = 0
        self._blocks.clear()
