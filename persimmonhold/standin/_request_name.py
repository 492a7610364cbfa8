"""Names the request in the responses of stand-ins."""

from persimmonhold.web import (
    REQUEST_ID_HEADER,
    Exchange,
    Headers,
    encode_headers,
)


def name_request(exchange: Exchange) -> Headers:
    """Return the header that names the request of an exchange.

    Empty if the caller gave it no id.
    """
    request_id = exchange.head.header(REQUEST_ID_HEADER)
    if not request_id:
        return ()
    return encode_headers({REQUEST_ID_HEADER: request_id})
