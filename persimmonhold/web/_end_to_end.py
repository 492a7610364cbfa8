"""Selection of the headers that are forwarded between caller and upstream."""

from typing import Final

from persimmonhold.web._headers import (
    CALLER_HEADER,
    DEADLINE_MS_HEADER,
    PRIORITY_HEADER,
    RAN_HEADER,
    REFUSAL_REASON_HEADER,
    RELAYED_FOR_HEADER,
    RELAYED_RUNS_HEADER,
    REQUEST_ID_HEADER,
    RESUME_OFFSET_HEADER,
    SERVICE_CLASS_HEADER,
    Headers,
)

_HOP_BY_HOP_HEADERS: Final = frozenset((
    b'connection',
    b'content-length',
    b'expect',
    b'host',
    b'keep-alive',
    b'proxy-authenticate',
    b'proxy-authorization',
    b'proxy-connection',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
))
_SYSTEM_HEADERS: Final = frozenset(
    name.encode('ascii')
    for name in (
        DEADLINE_MS_HEADER,
        PRIORITY_HEADER,
        RAN_HEADER,
        REFUSAL_REASON_HEADER,
        RELAYED_FOR_HEADER,
        RELAYED_RUNS_HEADER,
        REQUEST_ID_HEADER,
        RESUME_OFFSET_HEADER,
        SERVICE_CLASS_HEADER,
    )
)
_DROPPED_HEADERS: Final = _HOP_BY_HOP_HEADERS | _SYSTEM_HEADERS
_CALLER_HEADER: Final = CALLER_HEADER.encode('ascii')


def select_end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers to forward.

    Drops hop-by-hop headers, including those that the Connection header
    names, and the headers of this system. The caller header always passes.
    """
    dropped = _DROPPED_HEADERS
    for name, text in headers:
        if name == b'connection':
            named = text.lower().split(b',')
            dropped |= frozenset(option.strip() for option in named)
    dropped -= {_CALLER_HEADER}
    return tuple(pair for pair in headers if pair[0] not in dropped)
