"""Head of a received response."""

from typing import final

import msgspec

from persimmonhold.web._headers import Headers, find_header


@final
class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of a response."""

    status: int
    headers: Headers

    def header(self, name: str) -> str:
        """Return the value of the header `name` (lower case), or ''."""
        return find_header(self.headers, name)
