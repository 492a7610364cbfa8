"""A workspace: the keys of its callers, its priority and its limit."""

import hashlib
from typing import Final, final

import msgspec

_FINGERPRINT_DIGITS: Final = 8


@final
class WorkspaceLimit(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """What a workspace may send, over all entries together.

    It may send `per_s` units a second, and `burst` units beyond that at once.
    The units are tokens if `counts_tokens`, and otherwise requests. A request
    that states no tokens counts as `default_tokens`.
    """

    per_s: float
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 0

    def cost_of(self, tokens: int) -> float:
        """Return the units of a request that states `tokens`; 0 if none."""
        if not self.counts_tokens:
            return 1
        return tokens or self.default_tokens


@final
class Workspace(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """The callers that share keys, a priority and a limit.

    `key_hashes` are digests of the keys, see `hash_key`: the keys themselves
    are kept only in the operator's own document. Requests of a workspace with a
    lower `priority` go first, whatever the priority of their route. A `limit`
    of None means that there is none.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    priority: int = 0
    limit: WorkspaceLimit | None = None


def hash_key(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal digits."""
    return hashlib.sha256(key.encode()).hexdigest()


def fingerprint_key(key_hash: str) -> str:
    """Return the part of a digest that logs and operators may see."""
    return key_hash[:_FINGERPRINT_DIGITS]
