"""Validates that an event stream is the complete response to its request."""

from typing import Any, Final, final

import msgspec

from persimmonhold.standin import Generation

_PREFIX: Final = b'data: '
_DONE: Final = b'[DONE]'
_SHOWN_BYTES: Final = 80


@final
class StreamValidator:
    """Compares the received tokens with those expected for the request.

    The stand-in engines derive tokens from the request alone, so a caller can
    detect lost, duplicate, reordered and foreign tokens. `error` is the error
    event that the stream contained, `fault` describes a wrong or malformed
    event; both are empty if there was none.
    """

    __slots__ = (
        '_buffer',
        '_expected',
        'error',
        'fault',
        'has_ended',
        'token_count',
    )

    def __init__(self, document: dict[str, Any]) -> None:
        """Create the validator of the response to the request `document`."""
        self.token_count = 0
        self.has_ended = False
        self.error = ''
        self.fault = ''
        self._buffer = b''
        self._expected = Generation(document, priority=0, offset=0)

    def feed(self, chunk: bytes) -> int:
        """Process received bytes; return the number of new tokens."""
        before = self.token_count
        parts = (self._buffer + chunk).split(b'\n\n')
        self._buffer = parts.pop()
        for event in parts:
            self._process_event(event)
        return self.token_count - before

    @property
    def is_complete(self) -> bool:
        """Whether all tokens in order and then the end marker have arrived."""
        complete = self.token_count == self._expected.token_limit
        return self.has_ended and complete and not self.fault

    def _process_event(self, event: bytes) -> None:
        if event.startswith(b'event: error'):
            self.error = event.decode(errors='replace')
            return
        payload = event.removeprefix(_PREFIX)
        if payload == _DONE:
            self.has_ended = True
            return
        self._validate_token(payload)

    def _validate_token(self, payload: bytes) -> None:
        try:
            document: Any = msgspec.json.decode(payload)
            token = document['choices'][0]['delta']['content']
        except (msgspec.DecodeError, LookupError, TypeError):
            self.fault = f'not an event of a stream: {payload[:_SHOWN_BYTES]!r}'
            return
        expected = self._expected.token_at(self.token_count)
        if token != expected and not self.fault:
            self.fault = (
                f'token {self.token_count}: {token!r}, not {expected!r}'
            )
        self.token_count += 1
