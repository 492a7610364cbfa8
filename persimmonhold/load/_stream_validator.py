"""Checks that a stream is the whole answer to its own request."""

from typing import Any, Final, final

import msgspec

from persimmonhold.standin import Generation

_PREFIX: Final = b'data: '
_DONE: Final = b'[DONE]'
_SHOWN_BYTES: Final = 80


@final
class StreamValidator:
    """Compares received tokens with those that the request is due.

    The stand-in engines make tokens from the request alone, so a caller can
    tell a lost, doubled, reordered or foreign token.
    """

    __slots__ = ('_expected', '_rest', 'has_ended', 'error', 'fault', 'tokens')

    def __init__(self, document: dict[str, Any]) -> None:
        """Create the check of the stream that answers `document`."""
        self.tokens = 0
        self.has_ended = False
        self.error = ''
        self.fault = ''
        self._rest = b''
        self._expected = Generation(document, priority=0, offset=0)

    def feed(self, chunk: bytes) -> int:
        """Take received bytes; return the number of new tokens."""
        before = self.tokens
        parts = (self._rest + chunk).split(b'\n\n')
        self._rest = parts.pop()
        for event in parts:
            self._take(event)
        return self.tokens - before

    @property
    def is_complete(self) -> bool:
        """Tell whether every token came, in order, and the end."""
        complete = self.tokens == self._expected.token_limit
        return self.has_ended and complete and not self.fault

    def _take(self, event: bytes) -> None:
        if event.startswith(b'event: error'):
            self.error = event.decode(errors='replace')
            return
        payload = event.removeprefix(_PREFIX)
        if payload == _DONE:
            self.has_ended = True
            return
        self._compare(payload)

    def _compare(self, payload: bytes) -> None:
        try:
            document: Any = msgspec.json.decode(payload)
            token = document['choices'][0]['delta']['content']
        except (msgspec.DecodeError, LookupError, TypeError):
            self.fault = f'not an event of a stream: {payload[:_SHOWN_BYTES]!r}'
            return
        expected = self._expected.token_at(self.tokens)
        if token != expected and not self.fault:
            self.fault = f'token {self.tokens}: {token!r}, not {expected!r}'
        self.tokens += 1
