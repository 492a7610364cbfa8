"""One fault of a schedule."""

import enum
from typing import final

import msgspec


@final
class FaultKind(enum.Enum):
    """What a fault does to its target."""

    stop = 'stop'
    reload = 'reload'
    rewrite = 'rewrite settings'
    freeze = 'freeze'
    kill = 'kill'
    configure = 'configure'
    slow = 'slow upstream'
    refusing = 'refusing upstream'
    closing = 'closing upstream'
    limited = 'limited upstream'
    crash = 'crash of an upstream'
    release = 'release of an upstream'
    drain = 'drain of an upstream'
    kill_all = 'kill all VMs'


@final
class Fault(msgspec.Struct, frozen=True, order=True):
    """A fault of a VM or upstream, `at_s` seconds after the load began.

    `amount` is its length in seconds, of a stop or kill the delay of the next
    start; of configurations it is their number. A fault of all VMs has no
    target.
    """

    at_s: float
    target: str
    kind: FaultKind
    amount: float
