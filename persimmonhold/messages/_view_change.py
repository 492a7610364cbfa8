"""A change of the control view."""

from typing import final

import msgspec

from persimmonhold.catalogue import StoredEntry
from persimmonhold.messages._copy import Copy
from persimmonhold.messages._vm_record import VmRecord
from persimmonhold.routes import RoutingDocument


@final
class ViewChange(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
):
    """The difference between the views at `previous` and at `index`.

    `revision` is that of the catalogue at `index`. One of `stored` (an entry
    put), `removed` (the name of a deleted entry), `copy`, `vm` and `routes`
    is set, or none, where a later change replaces the routing document.
    """

    index: int
    previous: int
    revision: int
    stored: StoredEntry | None = None
    removed: str = ''
    copy: Copy | None = None
    copy_gone: bool = False
    vm: VmRecord | None = None
    vm_gone: bool = False
    routes: RoutingDocument | None = None
