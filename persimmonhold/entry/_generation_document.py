"""The part of a generation request that an entry reads."""

from typing import Any, final

import msgspec

_CHARACTERS_PER_TOKEN = 4
_DEFAULT_OUTPUT_TOKENS = 256


@final
class GenerationDocument(msgspec.Struct, frozen=True):
    """The body of a chat or completion request; the rest passes through."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    messages: list[Any] | None = None
    prompt: Any = ''

    @property
    def prompt_text(self) -> str:
        """The prompt as engines hash it."""
        if self.messages is not None:
            return msgspec.json.encode(self.messages).decode()
        return str(self.prompt)

    @property
    def output_tokens(self) -> int:
        """The most tokens that the answer may have."""
        requested = self.max_completion_tokens or self.max_tokens
        return (
            _DEFAULT_OUTPUT_TOKENS if requested is None else max(0, requested)
        )


def estimate_tokens(prompt: str) -> int:
    """Return about how many tokens a prompt has."""
    return len(prompt) // _CHARACTERS_PER_TOKEN + 1
