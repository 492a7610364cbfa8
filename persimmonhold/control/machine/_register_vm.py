"""The command that registers a VM or removes a registered one."""

from typing import final

import msgspec

from persimmonhold.messages import VmRecord


@final
class RegisterVm(msgspec.Struct, frozen=True, kw_only=True, tag='register_vm'):
    """Adds or replaces the record of a VM; `gone` removes it."""

    at_ms: int
    vm: VmRecord
    gone: bool = False
