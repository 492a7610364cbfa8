"""A compact, append-only set of 64-bit digests.

The digests are kept in sorted runs that are merged as digests are added, so
that each run is larger than the next: eight bytes per digest, look-ups by
binary search in each run, additions in amortized logarithmic time. A
collision gives a false positive; there are no false negatives.
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
    """A set of texts, of which only the digests are stored."""

    __slots__ = ('_sorted_runs',)

    def __init__(self, encoded: bytes = b'') -> None:
        """Create a set from the output of `encode`, or an empty set."""
        self._sorted_runs: list[array[int]] = []
        if encoded:
            digests = array(_TYPE_CODE, encoded)
            if sys.byteorder == 'big':
                digests.byteswap()
            self._sorted_runs.append(digests)

    def __contains__(self, text: str) -> bool:
        """Return whether `text` was added; may be a false positive."""
        digest = _digest(text)
        return any(_is_in_run(run, digest) for run in self._sorted_runs)

    def __len__(self) -> int:
        """Return the number of stored digests, duplicates included."""
        return sum(len(run) for run in self._sorted_runs)

    def add(self, text: str) -> None:
        """Add the digest of `text`."""
        run = array(_TYPE_CODE, (_digest(text),))
        while self._sorted_runs and len(self._sorted_runs[-1]) <= len(run):
            run = array(_TYPE_CODE, sorted(self._sorted_runs.pop() + run))
        self._sorted_runs.append(run)

    def encode(self) -> bytes:
        """Return all digests, sorted, as little-endian 64-bit integers."""
        merged = array(_TYPE_CODE)
        for run in self._sorted_runs:
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
