"""The part of the control state that every entry receives."""

from typing import final

import msgspec

from persimmonhold.catalogue import Catalogue
from persimmonhold.messages._copy import Copy
from persimmonhold.messages._vm_record import VmRecord
from persimmonhold.routes import RoutingDocument


@final
class ControlView(msgspec.Struct, frozen=True, kw_only=True):
    """Catalogue, copies, VMs and routes at one index of the control log.

    `index` is the log index of the last command that changed the view, and
    `digest` a hash of its items that does not depend on their order.
    Invariant: a VM never replaces its view with one of a lower index.
    """

    index: int = 0
    catalogue: Catalogue = Catalogue()
    copies: tuple[Copy, ...] = ()
    vms: tuple[VmRecord, ...] = ()
    digest: int = 0
    routes: RoutingDocument = RoutingDocument()
