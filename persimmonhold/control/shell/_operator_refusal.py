"""The reasons for which operator requests are refused."""

import enum
from types import MappingProxyType
from typing import Final, final

from persimmonhold.control.machine import CommandStatus

_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_BAD_METHOD: Final = 405
_CONFLICT: Final = 409
_PRECONDITION_FAILED: Final = 412
_TOO_LARGE: Final = 413
_UNAVAILABLE: Final = 503


@final
@enum.unique
class OperatorRefusal(enum.StrEnum):
    """Reason in a problem document; refusals are counted by reason."""

    malformed_request = 'malformed_request'
    missing_header = 'missing_header'
    bad_entry = 'bad_entry'
    body_too_large = 'body_too_large'
    unknown_path = 'unknown_path'
    unknown_method = 'unknown_method'
    unknown_entry = 'unknown_entry'
    unknown_vm = 'unknown_vm'
    in_use = 'in_use'
    does_not_fit = 'does_not_fit'
    command_id_reused = 'command_id_reused'
    command_expired = 'command_expired'
    revision_conflict = 'revision_conflict'
    no_quorum = 'no_quorum'
    no_leader = 'no_leader'


REFUSAL_HTTP_STATUS: Final = MappingProxyType({
    OperatorRefusal.malformed_request: _BAD_REQUEST,
    OperatorRefusal.missing_header: _BAD_REQUEST,
    OperatorRefusal.bad_entry: _BAD_REQUEST,
    OperatorRefusal.body_too_large: _TOO_LARGE,
    OperatorRefusal.unknown_path: _NOT_FOUND,
    OperatorRefusal.unknown_method: _BAD_METHOD,
    OperatorRefusal.unknown_entry: _NOT_FOUND,
    OperatorRefusal.unknown_vm: _NOT_FOUND,
    OperatorRefusal.in_use: _CONFLICT,
    OperatorRefusal.does_not_fit: _CONFLICT,
    OperatorRefusal.command_id_reused: _CONFLICT,
    OperatorRefusal.command_expired: _CONFLICT,
    OperatorRefusal.revision_conflict: _PRECONDITION_FAILED,
    OperatorRefusal.no_quorum: _UNAVAILABLE,
    OperatorRefusal.no_leader: _UNAVAILABLE,
})

REFUSAL_BY_COMMAND_STATUS: Final = MappingProxyType({
    CommandStatus.bad_entry: OperatorRefusal.bad_entry,
    CommandStatus.in_use: OperatorRefusal.in_use,
    CommandStatus.does_not_fit: OperatorRefusal.does_not_fit,
    CommandStatus.command_id_reused: OperatorRefusal.command_id_reused,
    CommandStatus.command_expired: OperatorRefusal.command_expired,
    CommandStatus.revision_conflict: OperatorRefusal.revision_conflict,
    CommandStatus.not_found: OperatorRefusal.unknown_entry,
})
