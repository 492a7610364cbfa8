"""Response to a request that cannot be parsed or served."""

from typing import final

import msgspec

from persimmonhold.web._headers import Headers


@final
class Rejection(msgspec.Struct, frozen=True, kw_only=True):
    """Status, additional headers and JSON body of the response."""

    status: int
    body: bytes = b'{}'
    headers: Headers = ()
