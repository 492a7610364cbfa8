"""A compact set of 64-bit digests that only grows.

Sorted arrays whose sizes halve from one to the next, merged as digests are
added: eight bytes a digest, logarithmic look-ups, amortized additions. A
collision makes a look-up answer yes for a digest that was never added, and
never no for one that was.
"""

import bisect
import hashlib
import sys
from array import array
from typing import Final, final

_DIGEST_BYTES: Final = 8
_TYPE_CODE: Final = 'Q'


@final
class DigestSet:
    """Remembers texts by their digests."""

    __slots__ = ('_runs',)

    def __init__(self, encoded: bytes = b'') -> None:
        """Create a set from what `encode` returned."""
        self._runs: list[array[int]] = []
        if encoded:
            digests = array(_TYPE_CODE, encoded)
            if sys.byteorder == 'big':
                digests.byteswap()
            self._runs.append(digests)

    def __contains__(self, text: str) -> bool:
        """Tell whether `text` was added; errs towards yes."""
        digest = _digest(text)
        return any(_is_in_run(run, digest) for run in self._runs)

    def __len__(self) -> int:
        """Return how many were added."""
        return sum(len(run) for run in self._runs)

    def add(self, text: str) -> None:
        """Remember `text`."""
        run = array(_TYPE_CODE, (_digest(text),))
        while self._runs and len(self._runs[-1]) <= len(run):
            run = array(_TYPE_CODE, sorted(self._runs.pop() + run))
        self._runs.append(run)

    def encode(self) -> bytes:
        """Return all digests in order, little-endian."""
        merged = array(_TYPE_CODE)
        for run in self._runs:
            merged.extend(run)
        ordered = array(_TYPE_CODE, sorted(merged))
        if sys.byteorder == 'big':
            ordered.byteswap()
        return ordered.tobytes()


def _digest(text: str) -> int:
    hashed = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest(), 'little')


def _is_in_run(run: 'array[int]', digest: int) -> bool:
    position = bisect.bisect_left(run, digest)
    return position < len(run) and run[position] == digest
