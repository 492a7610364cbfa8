"""The answer to a request that cannot be served."""

from typing import final

import msgspec

from persimmonhold.web._headers import Headers


@final
class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """Status, further headers and body."""

    status: int
    body: bytes = b'{}'
    headers: Headers = ()
