"""The command that names the VM which gives orders to upstreams."""

from typing import final

import msgspec


@final
class RecordFleetController(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='record_order_giver',
):
    """Names a VM before its first order; no other VM gives any from here on."""

    at_ms: int
    vm: str
