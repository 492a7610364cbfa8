"""The head of a request that was received."""

from typing import final
from urllib.parse import parse_qsl, unquote

import msgspec

from persimmonhold.web._headers import Headers, find_header


@final
class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """Method, target and headers of a request."""

    method: str
    target: str
    headers: Headers
    peer: str

    @property
    def path(self) -> str:
        """The decoded path without the query."""
        return unquote(self.target.partition('?')[0])

    @property
    def raw_path(self) -> str:
        """The path and query as they were sent."""
        return self.target

    @property
    def query(self) -> dict[str, str]:
        """The query parameters; of equal names the last one counts."""
        return dict(parse_qsl(self.target.partition('?')[2]))

    def header(self, name: str) -> str:
        """Return a header by its lower-case name, or an empty string."""
        return find_header(self.headers, name)
