"""Which calls of a plain service may be repeated."""

from typing import final

import msgspec


@final
class CallRule(msgspec.Struct, frozen=True, kw_only=True):
    """States whether calls of one method under one path prefix may repeat.

    The first rule that matches decides; a call that none matches is taken
    as non-idempotent.
    """

    method: str
    path_prefix: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Tell whether the rule speaks of this call; `*` is any method."""
        if self.method not in {'*', method}:
            return False
        return path.startswith(self.path_prefix)
