"""A rule that says which calls of a plain service are idempotent."""

from typing import final

import msgspec


@final
class CallRule(msgspec.Struct, frozen=True, kw_only=True):
    """States whether calls of one method under a path prefix are idempotent.

    The first matching rule decides; a call without a matching rule is
    treated as non-idempotent.
    """

    method: str
    path_prefix: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule applies to a call; `*` matches any method."""
        if self.method not in {'*', method}:
            return False
        return path.startswith(self.path_prefix)
