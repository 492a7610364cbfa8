"""Creates orders without a fencing token, which the commit assigns."""

from persimmonhold.catalogue import UpstreamEntry
from persimmonhold.messages import Copy, Order, OrderKind
from persimmonhold.placement._move import Move


def create_load_order(move: Move) -> Order:
    """Return the order for a planned load."""
    return Order(
        fence=0,
        kind=OrderKind.load,
        upstream=move.place.upstream,
        accelerator=move.place.accelerator,
        target=move.target,
        version=move.version,
        memory_bytes=move.memory_bytes,
        base=move.base,
    )


def create_unload_order(copy: Copy) -> Order:
    """Return the order that unloads a copy."""
    return Order(
        fence=0,
        kind=OrderKind.unload,
        upstream=copy.upstream,
        accelerator=copy.accelerator,
        target=copy.target,
        version=copy.version,
        memory_bytes=0,
    )


def create_barrier_order(engine: UpstreamEntry) -> Order:
    """Return a barrier: an unload of nothing, sent only for its token.

    An engine that has accepted its fencing token refuses earlier orders.
    """
    return Order(
        fence=0,
        kind=OrderKind.unload,
        upstream=engine.name,
        accelerator=engine.accelerators[0].name,
        target='',
        version='',
        memory_bytes=0,
    )
