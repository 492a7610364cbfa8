"""Writes the response of a stand-in engine to a generation request."""

import asyncio
from typing import Final, final

import msgspec

from persimmonhold.standin._faults import Faults
from persimmonhold.standin._generation import Generation
from persimmonhold.standin._request_name import name_request
from persimmonhold.web import Exchange, encode_headers

_MS_PER_S: Final = 1000
_OK: Final = 200
_DONE: Final = b'data: [DONE]\n\n'
_STREAM_HEADERS: Final = encode_headers({
    'content-type': 'text/event-stream',
    'transfer-encoding': 'chunked',
})


@final
class ResponseWriter:
    """Responds with an event stream or a single JSON document.

    Injected faults may delay the document or abort the response.
    """

    __slots__ = ('_exchange', '_faults', '_generation', '_is_chat')

    def __init__(
        self,
        exchange: Exchange,
        generation: Generation,
        faults: Faults,
    ) -> None:
        """Create the writer of one response."""
        self._exchange = exchange
        self._generation = generation
        self._faults = faults
        self._is_chat = exchange.head.path.startswith('/v1/chat')

    async def write_response(self) -> None:
        """Send a stream if the request asks for one, otherwise a document."""
        if self._generation.document.get('stream') is True:
            await self._write_stream()
        else:
            await self._write_document()

    async def _write_stream(self) -> None:
        headers = (*_STREAM_HEADERS, *name_request(self._exchange))
        await self._exchange.start_response(_OK, headers)
        written = 0
        while not self._has_taken_all_tokens():
            token = await self._generation.token_queue.get()
            await self._exchange.send_body_chunk(self._encode_event(token))
            written += 1
            if written == self._faults.drop_after_tokens:
                self._exchange.abort_connection()
                return
        await self._exchange.send_body_chunk(_DONE)
        await self._exchange.finish_response()

    async def _write_document(self) -> None:
        tokens: list[str] = []
        while not self._has_taken_all_tokens():
            tokens.append(await self._generation.token_queue.get())
        await asyncio.sleep(self._faults.answer_delay_ms / _MS_PER_S)
        if self._faults.drop_before_answer:
            self._exchange.abort_connection()
            return
        text = ''.join(tokens)
        await self._exchange.respond_json(
            _OK,
            self._build_document(text, tokens),
            name_request(self._exchange),
        )

    def _has_taken_all_tokens(self) -> bool:
        generation = self._generation
        return generation.is_complete and generation.token_queue.empty()

    def _encode_event(self, token: str) -> bytes:
        choice: dict[str, object] = {'index': 0, 'finish_reason': None}
        if self._is_chat:
            choice['delta'] = {'content': token}
        else:
            choice['text'] = token
        document = {
            'object': 'chat.completion.chunk',
            'model': self._generation.target,
            'choices': [choice],
        }
        return b'data: ' + msgspec.json.encode(document) + b'\n\n'

    def _build_document(
        self, text: str, tokens: list[str]
    ) -> dict[str, object]:
        choice: dict[str, object] = {'index': 0, 'finish_reason': 'length'}
        if self._is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        prompt_tokens = self._generation.prompt_tokens
        return {
            'object': 'chat.completion',
            'model': self._generation.target,
            'choices': [choice],
            'usage': {
                'prompt_tokens': prompt_tokens,
                'completion_tokens': len(tokens),
                'total_tokens': prompt_tokens + len(tokens),
            },
        }
