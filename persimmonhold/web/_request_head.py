"""Head of a received request."""

from typing import final
from urllib.parse import parse_qsl, unquote

import msgspec

from persimmonhold.web._headers import Headers, find_header


@final
class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """Method, target, headers and peer address of a request.

    Its representation has no query and no headers, as they may contain keys.
    """

    method: str
    target: str
    headers: Headers
    peer: str

    def __repr__(self) -> str:
        return f'RequestHead({self.method!r}, {self.raw_path!r})'

    @property
    def path(self) -> str:
        """The decoded path without the query."""
        return unquote(self.target.partition('?')[0])

    @property
    def raw_path(self) -> str:
        """The path as sent, without the query."""
        return self.target.partition('?')[0]

    @property
    def raw_target(self) -> str:
        """The request target as sent, the same as `target`."""
        return self.target

    @property
    def query(self) -> dict[str, str]:
        """The query parameters; of a repeated name, the last value is used."""
        return dict(parse_qsl(self.target.partition('?')[2]))

    def header(self, name: str) -> str:
        """Return the value of the header `name` (lower case), or ''."""
        return find_header(self.headers, name)
