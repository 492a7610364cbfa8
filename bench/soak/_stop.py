"""One planned stop of a VM."""

from typing import final

import msgspec


@final
class Stop(msgspec.Struct):
    """A stop by SIGTERM; `code` is None until the process has ended.

    Times are seconds of the loop.
    """

    vm: str
    term_at: float
    grace_s: float
    ended_at: float = float('inf')
    code: int | None = None
