"""The size limits and retention periods of the replicated state."""

from typing import Final, final

import msgspec

_HOUR_MS: Final = 3_600_000
_DAY_MS: Final = 24 * _HOUR_MS


@final
class StateMachineLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the state machine; they must be equal at every replica.

    Results of operator commands are kept for `command_retention_ms`, but for
    at most `max_commands` later commands. Claims are kept for
    `claim_retention_ms` after their outcome or release; a table with
    `max_claims` claims refuses new ones. `max_outcome_bytes` limits the stored
    body of one outcome and `max_stored_outcome_bytes` the bodies of all
    outcomes; a body that exceeds either is not stored. `max_clock_step_ms`
    limits how far one command advances the clock of the state, so that a wrong
    clock expires few items. `change_log_length` is the number of view changes
    that are kept, so that a VM that lags behind can be sent only the changes
    it lacks.
    """

    max_commands: int = 20_000
    command_retention_ms: int = 7 * _DAY_MS
    max_claims: int = 50_000
    claim_retention_ms: int = _DAY_MS
    max_outcome_bytes: int = 16_384
    max_stored_outcome_bytes: int = 16_777_216
    max_clock_step_ms: int = _HOUR_MS
    change_log_length: int = 4096
