"""What the replicated state keeps, and for how long."""

from typing import Final, final

import msgspec

_HOUR_MS: Final = 3_600_000
_DAY_MS: Final = 24 * _HOUR_MS


@final
class StateMachineLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Retention and bounds; they must be equal at every replica.

    Results of operator commands are kept for `command_retention_ms`, but
    not for more than `command_count` later commands. Outcomes of claims are
    kept for `claim_retention_ms`; a full table refuses new claims.
    `max_clock_step_ms` bounds what one command's time adds to the clock of
    the state, so that a wrong clock expires little.
    """

    max_commands: int = 20_000
    command_retention_ms: int = 7 * _DAY_MS
    max_claims: int = 50_000
    claim_retention_ms: int = _DAY_MS
    max_outcome_bytes: int = 16_384
    max_stored_outcome_bytes: int = 16_777_216
    max_clock_step_ms: int = _HOUR_MS
    change_log_length: int = 4096
