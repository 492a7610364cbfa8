"""Keys by which the parts of a prompt are found in prompt caches."""

import hashlib
from typing import Final, Self, final

import msgspec

from persimmonhold.fleet._request_profile import RequestProfile

_KEY_BYTES: Final = 8


@final
class PromptKeys(msgspec.Struct, frozen=True):
    """Identifies each prefix of a prompt for its model and adapter.

    A part is only cached behind the parts before it, so `prefixes` has one key
    for each part and those before it. They are only valid in this process.
    `tokens` are those of each part. `shared` is the same at all entries for
    prompts with the same shared parts, and `shared_tokens` are theirs.
    """

    prefixes: tuple[int, ...]
    tokens: tuple[int, ...]
    shared: int
    shared_tokens: int

    @classmethod
    def from_profile(cls, profile: RequestProfile) -> Self | None:
        """Return the keys of a prompt; None if its parts are not known."""
        parts = profile.prompt_parts
        if not parts or len(profile.part_tokens) != len(parts):
            return None
        prefixes: list[int] = []
        tokens: list[int] = []
        key = hash((profile.model, profile.adapter))
        left = profile.prompt_tokens
        for part, stated in zip(parts, profile.part_tokens, strict=True):
            key = hash((key, part))
            prefixes.append(key)
            tokens.append(min(left, stated))
            left -= tokens[-1]
        # A prompt of a single part is only found by its own session.
        shared = parts[:-1] or parts
        return cls(
            prefixes=tuple(prefixes),
            tokens=tuple(tokens),
            shared=stable_hash(profile.model, profile.adapter, *shared),
            shared_tokens=sum(tokens[: len(shared)]),
        )


def stable_hash(*texts: str) -> int:
    """Return a hash of texts that is the same in all processes and builds."""
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    for text in texts:
        encoded = text.encode('utf-8', 'surrogatepass')
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    return int.from_bytes(digest.digest(), 'big')
