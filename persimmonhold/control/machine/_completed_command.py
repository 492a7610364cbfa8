"""A completed operator command."""

from typing import final

import msgspec

from persimmonhold.control.machine._command_result import CommandResult


@final
class CompletedCommand(msgspec.Struct, frozen=True, kw_only=True):
    """A completed operator command, kept so that a resend gets its result."""

    operator: str
    command_id: str
    at_ms: int
    content_digest: str
    result: CommandResult
