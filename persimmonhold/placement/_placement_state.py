"""The committed state that placement works on."""

from collections.abc import Mapping
from typing import final

import msgspec

from persimmonhold.catalogue import Catalogue
from persimmonhold.messages import Copy, Order
from persimmonhold.placement._copy_key import CopyKey


@final
class PlacementState(msgspec.Struct, frozen=True):
    """The committed state at one log index, as far as placement needs it.

    `copies` are all recorded copies by key, `orders` the outstanding orders by
    fencing token.
    """

    index: int
    catalogue: Catalogue
    copies: Mapping[CopyKey, Copy]
    orders: Mapping[int, Order]
