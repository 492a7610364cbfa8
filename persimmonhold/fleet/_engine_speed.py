"""The speed at which upstreams are assumed to read prompts."""

from typing import Final

# The platform documentation states 38.4 to 40.8 tokens/ms for an idle upstream.
PROMPT_TOKENS_PER_S: Final = 36_000.0
