"""Assumed prompt speed of upstreams that do not report it."""

from typing import Final

# The platform documentation states 38.4 to 40.8 tokens/ms when idle.
PROMPT_TOKENS_PER_S: Final = 36_000.0
