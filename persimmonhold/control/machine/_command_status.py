"""The status of an applied command."""

import enum
from typing import final


@final
@enum.unique
class CommandStatus(enum.StrEnum):
    """Status of an applied command; it is the same at every replica."""

    done = 'done'
    revision_conflict = 'revision_conflict'
    command_id_reused = 'command_id_reused'
    command_expired = 'command_expired'
    bad_entry = 'bad_entry'
    in_use = 'in_use'
    does_not_fit = 'does_not_fit'
    not_found = 'not_found'
    claim_granted = 'claim_granted'
    claim_held = 'claim_held'
    claim_in_doubt = 'claim_in_doubt'
    claim_completed = 'claim_completed'
    claim_conflict = 'claim_conflict'
    claim_table_full = 'claim_table_full'
    claim_unregistered = 'claim_unregistered'
