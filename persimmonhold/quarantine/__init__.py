"""Requests that crash the upstreams which answer them.

Pure decisions: what entries observe, what the fleet controller concludes from
it, and which prompts entries refuse.
"""

from persimmonhold.quarantine._messages import (
    AnsweredPart,
    ObservedCrash,
    PromptEvidence,
    QuarantinedPrompt,
    QuarantineUpdate,
)
from persimmonhold.quarantine._prompt_quarantine import PromptQuarantine
from persimmonhold.quarantine._quarantine_view import QuarantineView

__all__ = (
    'AnsweredPart',
    'ObservedCrash',
    'PromptEvidence',
    'PromptQuarantine',
    'QuarantinedPrompt',
    'QuarantineUpdate',
    'QuarantineView',
)
