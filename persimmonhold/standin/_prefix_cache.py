"""The prefix cache of a stand-in engine and its events."""

import random
from collections import OrderedDict, deque
from typing import Final, final

from persimmonhold.messages import CacheEvent, CacheEventPage, prefix_hashes

_MAX_BLOCKS: Final = 4096
_MAX_EVENTS: Final = 8192


@final
class PrefixCache:
    """An LRU cache of prompt blocks, by hash, that records changes as events.

    An event is lost with the probability `event_loss`; its sequence number is
    used up all the same.
    """

    __slots__ = ('_blocks', '_events', '_random', 'event_loss', 'last_sequence')

    def __init__(self, seed: int) -> None:
        """Create an empty cache."""
        self.last_sequence = 0
        self.event_loss = 0.0
        self._blocks: OrderedDict[str, str] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=_MAX_EVENTS)
        self._random = random.Random(seed)

    def look_up_and_store(self, target: str, prompt: str) -> int:
        """Look up a prompt and store its other blocks.

        Returns the number of its leading blocks that the cache holds.
        """
        hits = 0
        missed = False
        for digest in prefix_hashes(target, prompt):
            if digest in self._blocks and not missed:
                hits += 1
                self._blocks.move_to_end(digest)
            else:
                missed = True
                self._store_block(target, digest)
        return hits

    def read_events(self, boot_id: str, after: int) -> CacheEventPage:
        """Return the kept events after a sequence number, except lost ones."""
        return CacheEventPage(
            boot_id=boot_id,
            last=self.last_sequence,
            events=tuple(
                event for event in self._events if event.sequence > after
            ),
        )

    def _store_block(self, target: str, digest: str) -> None:
        self._blocks[digest] = target
        self._record_event(target, digest, stored=True)
        if len(self._blocks) > _MAX_BLOCKS:
            evicted, owner = self._blocks.popitem(last=False)
            self._record_event(owner, evicted, stored=False)

    def _record_event(self, target: str, digest: str, *, stored: bool) -> None:
        self.last_sequence += 1
        if self._random.random() < self.event_loss:
            return
        self._events.append(
            CacheEvent(
                sequence=self.last_sequence,
                target=target,
                prefix_hash=digest,
                stored=stored,
            ),
        )
