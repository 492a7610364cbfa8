"""The command that records that an order can no longer take effect."""

from typing import final

import msgspec

from persimmonhold.messages import OrderOutcome
from persimmonhold.streams import StreamChange


@final
class RecordOrderEnd(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='record_order_end',
):
    """Ends the memory reservation of an order, or changes the stream record.

    It is committed once the observed inventory shows how the order ended. One
    with `streams` has the fence 0, of no order: earlier builds, to which a
    command of its own would be unreadable, apply it without effect.
    """

    at_ms: int
    fence: int
    outcome: OrderOutcome
    streams: StreamChange | msgspec.UnsetType = msgspec.UNSET


def change_streams(at_ms: int, change: StreamChange) -> RecordOrderEnd:
    """Return the command that changes the stream record."""
    return RecordOrderEnd(
        at_ms=at_ms,
        fence=0,
        outcome=OrderOutcome.no_effect,
        streams=change,
    )
