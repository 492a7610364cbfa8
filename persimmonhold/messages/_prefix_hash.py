"""Hashes of prompt prefixes, as engines publish them."""

import hashlib
from typing import Final

PREFIX_BLOCK_CHARACTERS: Final = 256
_DIGEST_BYTES: Final = 8


def prefix_hashes(target: str, prompt: str) -> tuple[str, ...]:
    """Return one chained hash for each complete block of a prompt.

    A block has `PREFIX_BLOCK_CHARACTERS` characters.

    Prompts that share their first blocks share the first hashes.
    """
    digest = hashlib.blake2b(target.encode(), digest_size=_DIGEST_BYTES)
    hashes: list[str] = []
    whole_blocks_end = (
        len(prompt) // PREFIX_BLOCK_CHARACTERS * PREFIX_BLOCK_CHARACTERS
    )
    for start in range(0, whole_blocks_end, PREFIX_BLOCK_CHARACTERS):
        block = prompt[start : start + PREFIX_BLOCK_CHARACTERS]
        digest.update(block.encode())
        hashes.append(digest.hexdigest())
    return tuple(hashes)
