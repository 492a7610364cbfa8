"""The kinds of errors."""

import enum
from typing import final


@final
@enum.unique
class FailureKind(enum.StrEnum):
    """The kind of an error, independent of the step that failed."""

    bad_settings = 'bad_settings'
    bad_entry = 'bad_entry'
    bad_request = 'bad_request'
    not_found = 'not_found'
    revision_conflict = 'revision_conflict'
    command_id_reused = 'command_id_reused'
    command_expired = 'command_expired'
    does_not_fit = 'does_not_fit'
    not_leader = 'not_leader'
    no_quorum = 'no_quorum'
    storage_damaged = 'storage_damaged'
    storage_unwritable = 'storage_unwritable'
    address_in_use = 'address_in_use'
    connect_failed = 'connect_failed'
    connection_lost = 'connection_lost'
    protocol_violation = 'protocol_violation'
    timed_out = 'timed_out'
    refused = 'refused'
    overloaded = 'overloaded'
