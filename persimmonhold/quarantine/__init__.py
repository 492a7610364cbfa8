"""Requests that crash the upstreams which answer them.

Pure decisions: what entries observe, what the fleet controller concludes from
it, and which prompts entries refuse.
"""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports
from persimmonhold.quarantine._messages import (
    AnsweredPart,
    ObservedCrash,
    ProcessSign,
    PromptEvidence,
    QuarantinedPrompt,
    QuarantineUpdate,
)
from persimmonhold.quarantine._quarantine_view import (
    PROOF_S,
    QuarantineView,
)
from persimmonhold.quarantine._request_fingerprint import fingerprint_request

if TYPE_CHECKING:
    from persimmonhold.quarantine._prompt_quarantine import PromptQuarantine
    from persimmonhold.quarantine._release_spread import spread_release

__all__ = (
    'PROOF_S',
    'AnsweredPart',
    'ObservedCrash',
    'ProcessSign',
    'PromptEvidence',
    'PromptQuarantine',
    'QuarantinedPrompt',
    'QuarantineUpdate',
    'QuarantineView',
    'fingerprint_request',
    'spread_release',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'PromptQuarantine': '_prompt_quarantine',
            'spread_release': '_release_spread',
        },
    )
