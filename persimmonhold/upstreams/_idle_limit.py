"""How long a connection may have been idle and still be given a request.

The peer closes an idle connection after a time that it may state. A request
that is written while the peer closes is lost, and it stays unknown whether it
ran. One that may be repeated is then sent again; one that may not is lost to
its caller. So the latter gets a connection only shortly after its last use.
"""

from typing import Final

_MAX_IDLE_S: Final = 15.0  # where the peer states no time
# The peer counts from when it wrote its response, and closes a bit early or
# late; covers a lost packet.
_CLOSE_MARGIN_S: Final = 0.5
# Of the time that the peer states, for a request that may not be repeated.
_UNREPEATABLE_SHARE: Final = 0.5
_MAX_UNREPEATABLE_IDLE_S: Final = 2.0


def find_idle_limit_s(
    stated_idle_s: float | None, *, is_repeatable: bool
) -> float:
    """Return the longest idle time, in seconds, before the next request.

    `stated_idle_s` is when the peer closes idle connections, if it states so.
    """
    limit_s = _MAX_IDLE_S
    if stated_idle_s is not None:
        limit_s = min(limit_s, stated_idle_s - _CLOSE_MARGIN_S)
    if is_repeatable:
        return limit_s
    stated_share_s = _UNREPEATABLE_SHARE * (stated_idle_s or _MAX_IDLE_S)
    return min(limit_s, stated_share_s, _MAX_UNREPEATABLE_IDLE_S)


def share_idle_connections(max_connections: int, entry_count: int) -> int:
    """Return how many idle connections to one peer an entry may keep, from 1.

    All entries together keep at most half of what the peer accepts; the rest
    is for those in use.
    """
    return max(1, max_connections // (2 * max(1, entry_count)))
