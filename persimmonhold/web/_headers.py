"""Header names of the public interface, in lower case as h11 returns them."""

from typing import Final, TypeAlias

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]

REQUEST_ID: Final = 'persimmonhold-request-id'
RAN: Final = 'persimmonhold-ran'
DEADLINE_MS: Final = 'persimmonhold-deadline-ms'
CALLER: Final = 'persimmonhold-caller'
SERVICE_CLASS: Final = 'persimmonhold-class'
PRIORITY: Final = 'persimmonhold-priority'
RESUME_OFFSET: Final = 'persimmonhold-resume-offset'
OPERATOR: Final = 'persimmonhold-operator'
COMMAND_ID: Final = 'persimmonhold-command-id'
IDEMPOTENCY_KEY: Final = 'idempotency-key'
IF_MATCH: Final = 'if-match'


def find_header(headers: Headers, name: str) -> str:
    """Return the value of the first header `name`, or an empty string."""
    wanted = name.encode('ascii')
    for found, text in headers:
        if found == wanted:
            return text.decode('latin-1')
    return ''


def encode_headers(pairs: dict[str, str]) -> Headers:
    """Return headers in the form that h11 expects."""
    return tuple(
        (name.encode('ascii'), text.encode('latin-1'))
        for name, text in pairs.items()
    )
