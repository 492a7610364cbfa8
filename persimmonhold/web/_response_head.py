"""Head of a received response."""

from typing import Final, final

import msgspec

from persimmonhold.web._body_end import BodyEnd
from persimmonhold.web._headers import Headers, find_header

_BODILESS_STATUSES: Final = frozenset((204, 304))


@final
class ResponseHead(msgspec.Struct, frozen=True, kw_only=True):
    """Status and headers of a response."""

    status: int
    headers: Headers

    def header(self, name: str) -> str:
        """Return the value of the header `name` (lower case), or ''."""
        return find_header(self.headers, name)

    @property
    def keep_alive_s(self) -> float | None:
        """For how long the peer keeps an idle connection, None if not said."""
        for parameter in self.header('keep-alive').split(','):
            name, _, text = parameter.partition('=')
            if name.strip().lower() == 'timeout' and text.strip().isdecimal():
                return float(text)
        return None

    @property
    def body_end(self) -> BodyEnd:
        """What marks the end of the body, unless the request was a HEAD."""
        if self.header('transfer-encoding'):
            return BodyEnd.chunks
        if self.header('content-length') or self.status in _BODILESS_STATUSES:
            return BodyEnd.length
        return BodyEnd.connection
