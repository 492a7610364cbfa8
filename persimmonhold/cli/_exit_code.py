"""Exit codes of the commands, documented in docs/operating/commands.md."""

import enum
from typing import final


@final
@enum.unique
class ExitCode(enum.IntEnum):
    """The exit code of a command."""

    ok = 0
    refused = 1
    usage = 2
    bad_settings = 3
    unreachable = 4
    unavailable_resource = 5
    not_in_force = 6
    audit_mismatch = 7
    damaged_state = 8
