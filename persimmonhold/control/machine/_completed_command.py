"""A completed operator command."""

from typing import final

import msgspec

from persimmonhold.control.machine._command_result import CommandResult


@final
class CompletedCommand(msgspec.Struct, frozen=True, kw_only=True):
    """The operator, the digest of the content and the first result."""

    operator: str
    command_id: str
    at_ms: int
    content_digest: str
    result: CommandResult
