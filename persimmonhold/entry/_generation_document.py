"""The fields of a generation request that an entry reads."""

from typing import Any, final

import msgspec

_CHARACTERS_PER_TOKEN = 4
_DEFAULT_OUTPUT_TOKENS = 256


@final
class GenerationDocument(msgspec.Struct, frozen=True):
    """The body of a chat or completion request.

    Fields that are not listed here are passed on without being read.
    """

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    messages: list[Any] | None = None
    prompt: Any = ''

    @property
    def prompt_text(self) -> str:
        """The prompt text, as engines hash it for their prefix cache."""
        if self.messages is not None:
            return msgspec.json.encode(self.messages).decode()
        return str(self.prompt)

    @property
    def max_output_tokens(self) -> int:
        """The maximum number of tokens in the response."""
        requested = self.max_completion_tokens or self.max_tokens
        return (
            _DEFAULT_OUTPUT_TOKENS if requested is None else max(0, requested)
        )


def estimate_prompt_tokens(prompt: str) -> int:
    """Estimate the number of tokens in a prompt from its length."""
    return len(prompt) // _CHARACTERS_PER_TOKEN + 1
