"""Static placement: one copy of every model, and adapters beside them."""

from persimmonhold.catalogue import (
    AdapterEntry,
    Catalogue,
    ModelEntry,
    UpstreamEntry,
)
from persimmonhold.messages import Copy, Order, OrderKind
from persimmonhold.placement._sizes import memory_bytes


def plan_missing(
    catalogue: Catalogue,
    copies: tuple[Copy, ...],
    orders: tuple[Order, ...],
) -> tuple[Order, ...]:
    """Return load orders for models and adapters that have no copy.

    Models come before adapters, and each goes to the accelerator with the
    most memory that nothing holds or has reserved.
    """
    placed = {copy.target for copy in copies}
    placed.update(order.target for order in orders)
    free = _free_bytes(catalogue, copies, orders)
    planned: list[Order] = []
    for model in catalogue.of_type(ModelEntry):
        if model.name not in placed:
            planned.extend(_place_model(model, free))
    for adapter in catalogue.of_type(AdapterEntry):
        if adapter.name not in placed:
            planned.extend(_place_adapter(adapter, copies, free))
    return tuple(planned)


def _free_bytes(
    catalogue: Catalogue,
    copies: tuple[Copy, ...],
    orders: tuple[Order, ...],
) -> dict[tuple[str, str], int]:
    free = {
        (upstream.name, accelerator.name): accelerator.memory_bytes
        for upstream in catalogue.of_type(UpstreamEntry)
        for accelerator in upstream.accelerators
    }
    reserved = {order.fence for order in orders}
    for reservation in orders:
        place = (reservation.upstream, reservation.accelerator)
        free[place] -= reservation.memory_bytes
    for copy in copies:
        if copy.fence not in reserved:
            needed = memory_bytes(catalogue, copy.target)
            free[copy.upstream, copy.accelerator] -= needed
    return free


def _place_model(
    model: ModelEntry,
    free: dict[tuple[str, str], int],
) -> tuple[Order, ...]:
    needed = model.weight_bytes + model.kv_floor_bytes
    candidates = [place for place in sorted(free) if free[place] >= needed]
    if not candidates:
        return ()
    place = max(candidates, key=lambda candidate: free[candidate])
    free[place] -= needed
    return (_load(model.name, model.version, place, needed),)


def _place_adapter(
    adapter: AdapterEntry,
    copies: tuple[Copy, ...],
    free: dict[tuple[str, str], int],
) -> tuple[Order, ...]:
    for copy in copies:
        place = (copy.upstream, copy.accelerator)
        if copy.target != adapter.base:
            continue
        if free.get(place, 0) < adapter.weight_bytes:
            continue
        free[place] -= adapter.weight_bytes
        return (
            _load(
                adapter.name,
                adapter.version,
                place,
                adapter.weight_bytes,
                adapter.base,
            ),
        )
    return ()


def _load(
    target: str,
    version: str,
    place: tuple[str, str],
    needed: int,
    base: str = '',
) -> Order:
    return Order(
        fence=0,
        kind=OrderKind.load,
        upstream=place[0],
        accelerator=place[1],
        target=target,
        version=version,
        memory_bytes=needed,
        base=base,
    )
