"""Exit codes of the commands; docs/operating/commands.md repeats them."""

import enum
from typing import final


@final
@enum.unique
class ExitCode(enum.IntEnum):
    """How a command ended."""

    ok = 0
    refused = 1
    usage = 2
    bad_settings = 3
    unreachable = 4
    unavailable_resource = 5
    not_in_force = 6
    audit_mismatch = 7
    damaged_state = 8
