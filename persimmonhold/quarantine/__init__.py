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
from persimmonhold.quarantine._quarantine_view import (
    PROOF_S,
    QuarantineView,
)
from persimmonhold.quarantine._request_fingerprint import fingerprint_request

__all__ = (
    'PROOF_S',
    'AnsweredPart',
    'ObservedCrash',
    'PromptEvidence',
    'PromptQuarantine',
    'QuarantinedPrompt',
    'QuarantineUpdate',
    'QuarantineView',
    'fingerprint_request',
)
