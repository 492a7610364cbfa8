"""The messages between a VM and the control leader."""

from typing import TypeAlias, final

import msgspec

from persimmonhold.control.machine import (
    ClaimKey,
    CommandResult,
    EndClaim,
    RegisterVm,
)
from persimmonhold.failures import Failure
from persimmonhold.messages import Demand

VmCommand: TypeAlias = ClaimKey | EndClaim | RegisterVm


@final
class ProposeRequest(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='propose',
    array_like=True,
):
    """Asks the leader to commit a command; a resend keeps the request id.

    A control VM that is not the leader forwards the request once, with
    `forwarded` set.
    """

    request_id: str
    command: VmCommand
    forwarded: bool = False


@final
class ProposeReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='reply',
    array_like=True,
):
    """The result of a proposed command, or the failure to commit it."""

    request_id: str
    result: CommandResult | None = None
    failure: Failure | None = None
    leader: str = ''


@final
class VmReport(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='report',
    array_like=True,
):
    """A report of a VM to the control leader.

    `index` and `revision` are those of the newest view that the VM has
    applied, and `serving` is whether it may serve callers. `demand` is sent
    at longer intervals and is None in the reports between.
    """

    vm: str
    incarnation: str
    index: int
    revision: int
    serving: bool
    demand: tuple[Demand, ...] | None = None


ControlMessage: TypeAlias = ProposeRequest | ProposeReply | VmReport
