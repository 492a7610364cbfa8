"""A command of an operator that was answered."""

from typing import final

import msgspec

from persimmonhold.control.machine._command_result import CommandResult


@final
class CompletedCommand(msgspec.Struct, frozen=True, kw_only=True):
    """Whose it was, the digest of the content, and the first answer."""

    operator: str
    command_id: str
    at_ms: int
    content_digest: str
    result: CommandResult
