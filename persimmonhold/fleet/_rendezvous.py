"""Rendezvous hashing: the same order of upstreams at all entries.

Each upstream has a pseudo-random rank for each key. When an upstream joins or
leaves, the order of all others stays the same.
"""

from typing import Final

_WORD_BITS: Final = 64
RANKS: Final = 1 << _WORD_BITS  # above all ranks
_MASK: Final = RANKS - 1
# The finalizer of SplitMix64. It is part of the agreement between entries.
_FIRST_FACTOR: Final = 0xBF58476D1CE4E5B9
_SECOND_FACTOR: Final = 0x94D049BB133111EB
_FIRST_SHIFT: Final = 30
_SECOND_SHIFT: Final = 27
_THIRD_SHIFT: Final = 31


def rendezvous_rank(key: int, member: int) -> int:
    """Return the rank of a member for a key; the highest is preferred.

    Both are stable 64-bit hashes.
    """
    mixed = key ^ member
    mixed = ((mixed ^ (mixed >> _FIRST_SHIFT)) * _FIRST_FACTOR) & _MASK
    mixed = ((mixed ^ (mixed >> _SECOND_SHIFT)) * _SECOND_FACTOR) & _MASK
    return mixed ^ (mixed >> _THIRD_SHIFT)
