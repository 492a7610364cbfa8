"""The command that takes a VM out of the directory of entries."""

from typing import final

import msgspec


@final
class DrainVm(msgspec.Struct, frozen=True, kw_only=True, tag='drain_vm'):
    """Sets or clears the draining state of a registered VM."""

    operator: str
    command_id: str
    at_ms: int
    name: str
    draining: bool = True
    reason: str = ''
