"""A generation (completion or chat) on a stand-in engine."""

import asyncio
import hashlib
from typing import Any, Final, final

import msgspec

_DEFAULT_TOKENS: Final = 16
_MAX_TOKENS: Final = 100_000
_CHARACTERS_PER_TOKEN: Final = 4
_VOCABULARY: Final = 10_000


@final
class Generation:
    """A generation request and the tokens produced for it so far.

    The tokens depend on the request alone, so a stream that is resumed on
    another engine continues with the same tokens. `produced_count` includes
    the tokens that were skipped because an earlier engine sent them.
    """

    __slots__ = (
        '_digest',
        'document',
        'priority',
        'produced_count',
        'prompt',
        'target',
        'token_limit',
        'token_queue',
    )

    def __init__(
        self,
        document: dict[str, Any],
        priority: int,
        offset: int,
    ) -> None:
        """Create a generation that skips the first `offset` tokens.

        A lower `priority` is served first.
        """
        self.document = document
        self.priority = priority
        self.target = str(document.get('model', ''))
        self.prompt = extract_prompt(document)
        requested = document.get('max_tokens', _DEFAULT_TOKENS)
        self.token_limit = min(int(requested), _MAX_TOKENS)
        self.produced_count = offset
        self.token_queue: asyncio.Queue[str] = asyncio.Queue()
        self._digest = hashlib.blake2b(
            f'{self.target}\n{self.prompt}'.encode(),
            digest_size=8,
        ).hexdigest()

    @property
    def is_complete(self) -> bool:
        """Whether every token has been produced."""
        return self.produced_count >= self.token_limit

    @property
    def prompt_tokens(self) -> int:
        """The approximate length of the prompt in tokens."""
        return len(self.prompt) // _CHARACTERS_PER_TOKEN + 1

    def produce_token(self) -> None:
        """Produce the next token and put it into the token queue."""
        self.token_queue.put_nowait(self.token_at(self.produced_count))
        self.produced_count += 1

    def token_at(self, index: int) -> str:
        """Return the token at the position `index`, from 0, of the response."""
        digest = hashlib.blake2b(
            f'{self._digest}:{index}'.encode(),
            digest_size=4,
        ).digest()
        word = int.from_bytes(digest, 'big') % _VOCABULARY
        return f' t{index}.{word}'


def extract_prompt(document: dict[str, Any]) -> str:
    """Return the prompt text of a completion or chat request.

    The prompt of a chat request is the JSON of its messages.
    """
    messages = document.get('messages')
    if isinstance(messages, list):
        return msgspec.json.encode(messages).decode()
    return str(document.get('prompt', ''))
