"""Request of an HTTP client."""

from typing import final

import msgspec

from persimmonhold.web._headers import Headers


@final
class ClientRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Method, target, headers and body of a request to send.

    If `host` is empty, the Host header is the address of the peer. `request_id`
    is the id that the response will name, or '' if it names none.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''
    host: str = ''
    request_id: str = ''
