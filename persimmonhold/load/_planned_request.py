"""A request of a load run, with its planned time."""

from typing import Any, Final, final

import msgspec

from persimmonhold.load._request_kind import RequestKind
from persimmonhold.web import Headers, encode_headers

_MS_PER_S: Final = 1000
_GENERATION_KINDS: Final = frozenset((
    RequestKind.stream,
    RequestKind.check,
    RequestKind.batch,
))


@final
class PlannedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request of a load run and the time to send it.

    `target` names the model, adapter or service. `at_s` is measured from the
    start of the run. `time_limit_s` is the longest time allowed from `at_s` to
    the end; a stream is judged by its first token and its gaps instead.
    `key` is the idempotency key of a call; it is empty for other kinds.
    """

    at_s: float
    kind: RequestKind
    target: str
    caller: str
    failure_domain: str
    time_limit_s: float
    key: str = ''
    prompt: str = ''
    max_tokens: int = 0

    @property
    def is_generation(self) -> bool:
        """Whether the request is a generation, which a model answers."""
        return self.kind in _GENERATION_KINDS

    @property
    def method(self) -> str:
        """The HTTP method of the request."""
        return 'GET' if self.kind is RequestKind.lookup else 'POST'

    @property
    def path(self) -> str:
        """The path of the request at an entry."""
        if self.is_generation:
            return '/v1/chat/completions'
        return f'/services/{self.target}/records/{self.key or self.caller}'

    def build_document(self) -> dict[str, Any]:
        """Return the content of the body, which is sent encoded as JSON."""
        if not self.is_generation:
            return {'record': self.key, 'note': self.prompt}
        return {
            'model': self.target,
            'stream': self.kind is RequestKind.stream,
            'max_tokens': self.max_tokens,
            'messages': [{'role': 'user', 'content': self.prompt}],
        }

    def encode_body(self) -> bytes:
        """Return the encoded body; empty for a lookup."""
        if self.kind is RequestKind.lookup:
            return b''
        return msgspec.json.encode(self.build_document())

    def build_headers(self) -> Headers:
        """Return the headers; a stream is sent without a deadline."""
        pairs = {
            'persimmonhold-caller': self.caller,
            'content-type': 'application/json',
        }
        if self.kind is not RequestKind.stream:
            deadline_ms = int(self.time_limit_s * _MS_PER_S)
            pairs['persimmonhold-deadline-ms'] = str(deadline_ms)
        if self.key:
            pairs['idempotency-key'] = self.key
        return encode_headers(pairs)
