"""The speed at which upstreams are assumed to read and generate tokens."""

from typing import Final

# The platform documentation states 38.4 to 40.8 tokens/ms for an idle upstream.
PROMPT_TOKENS_PER_S: Final = 36_000.0
# Of one response. An idle upstream generates a token every 5 to 9 ms; responses
# may also be shorter than their limit.
MAX_OUTPUT_TOKENS_PER_S: Final = 250.0
# Of one response of a busy upstream.
BUSY_OUTPUT_TOKENS_PER_S: Final = 100.0
