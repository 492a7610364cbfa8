"""Header names of the public interface, in lower case as h11 returns them."""

from typing import Final, TypeAlias

Headers: TypeAlias = tuple[tuple[bytes, bytes], ...]

REQUEST_ID_HEADER: Final = 'persimmonhold-request-id'
RAN_HEADER: Final = 'persimmonhold-ran'
DEADLINE_MS_HEADER: Final = 'persimmonhold-deadline-ms'
CALLER_HEADER: Final = 'persimmonhold-caller'
SERVICE_CLASS_HEADER: Final = 'persimmonhold-class'
PRIORITY_HEADER: Final = 'persimmonhold-priority'
# Set between entries: the address of the caller for whom a request is relayed,
# how often it may have run before, and the reason of the entry that refused it.
RELAYED_FOR_HEADER: Final = 'persimmonhold-relayed-for'
RELAYED_RUNS_HEADER: Final = 'persimmonhold-relayed-runs'
REFUSAL_REASON_HEADER: Final = 'persimmonhold-refusal-reason'
RESUME_OFFSET_HEADER: Final = 'persimmonhold-resume-offset'
OPERATOR_HEADER: Final = 'persimmonhold-operator'
COMMAND_ID_HEADER: Final = 'persimmonhold-command-id'
IDEMPOTENCY_KEY_HEADER: Final = 'idempotency-key'
IF_MATCH_HEADER: Final = 'if-match'


def find_header(headers: Headers, name: str) -> str:
    """Return the value of the first header `name`, or '' if absent."""
    wanted = name.encode('ascii')
    for found, text in headers:
        if found == wanted:
            return text.decode('latin-1')
    return ''


def encode_headers(pairs: dict[str, str]) -> Headers:
    """Encode header names and values as the byte pairs that h11 expects."""
    return tuple(
        (name.encode('ascii'), text.encode('latin-1'))
        for name, text in pairs.items()
    )
