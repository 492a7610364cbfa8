"""The memory ledger and the check that all models fit in memory."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from persimmonhold.catalogue import (
    Accelerator,
    AdapterEntry,
    Catalogue,
    ModelEntry,
    UpstreamEntry,
)
from persimmonhold.messages import (
    Copy,
    CopyState,
    HeldItem,
    Inventory,
    Order,
    OrderKind,
    Residency,
)
from persimmonhold.placement import MemoryLedger, Place, explain_misfit

_PLACE = Place('engine', 'a0')


def _catalogue(
    memory: list[int],
    models: list[int],
    adapter_bytes: int = 0,
) -> Catalogue:
    catalogue = Catalogue()
    for index, capacity in enumerate(memory):
        accelerator = Accelerator(name='a0', memory_bytes=capacity)
        catalogue = catalogue.with_entry(
            UpstreamEntry(
                name=f'engine-{index}',
                owner='o',
                address='127.0.0.1:1',
                failure_domain='d',
                accelerators=(accelerator,),
            ),
        )
    for index, size in enumerate(models):
        catalogue = catalogue.with_entry(
            ModelEntry(
                name=f'model-{index}',
                owner='o',
                version='1',
                weight_bytes=size,
                kv_floor_bytes=1,
            ),
        )
    if adapter_bytes:
        catalogue = catalogue.with_entry(
            AdapterEntry(
                name='adapter',
                owner='o',
                version='1',
                base='model-0',
                weight_bytes=adapter_bytes,
            ),
        )
    return catalogue


def _order(kind: OrderKind, version: str = '1') -> Order:
    return Order(
        fence=7,
        kind=kind,
        upstream='engine',
        accelerator='a0',
        target='m',
        version=version,
        memory_bytes=30,
    )


_COPY = Copy(
    target='m',
    version='1',
    upstream='engine',
    accelerator='a0',
    state=CopyState.withdrawing,
    fence=3,
    memory_bytes=40,
)
_HELD = HeldItem(
    accelerator='a0',
    target='stray',
    version='9',
    memory_bytes=5,
    residency=Residency.ready,
    fence=0,
)


@pytest.mark.parametrize(
    ('copies', 'orders', 'held', 'reserved'),
    [
        ([], [], [], 0),
        ([_COPY], [], [], 40),
        ([_COPY], [_order(OrderKind.load)], [], 40),
        ([_COPY], [_order(OrderKind.load, '2')], [], 70),
        ([_COPY], [_order(OrderKind.unload)], [], 40),
        ([_COPY], [_order(OrderKind.import_kv)], [], 70),
        ([_COPY], [], [_HELD], 45),
    ],
)
def test_ledger_reserves_the_worst_case(
    copies: list[Copy],
    orders: list[Order],
    held: list[HeldItem],
    reserved: int,
) -> None:
    inventory = Inventory(boot_id='b', highest_fence=0, held=tuple(held))
    ledger = MemoryLedger.from_state(
        Catalogue(),
        copies,
        orders,
        {'engine': inventory},
    )
    assert_that(ledger.reserved_bytes(_PLACE), Equals(reserved))


@pytest.mark.parametrize(
    ('memory', 'models', 'adapter', 'told'),
    [
        ([100], [40, 50], 0, ''),
        ([100], [50, 50], 0, '2 models with their adapters need 102 bytes'),
        ([60, 60], [40, 40, 20], 0, 'model-2 with its adapters needs 21'),
        ([60, 60], [40, 40], 20, 'model-0 with its adapters needs 61'),
        ([60, 60], [40, 40], 19, ''),
    ],
)
def test_fit_tells_the_numbers(
    memory: list[int],
    models: list[int],
    adapter: int,
    told: str,
) -> None:
    answer = explain_misfit(_catalogue(memory, models, adapter))
    assert_that(answer, Contains(told))
    assert_that(bool(answer), Equals(bool(told)))


@given(
    st.lists(st.integers(10, 100), min_size=1, max_size=6),
    st.data(),
)
def test_half_full_accelerators_always_fit(
    memory: list[int],
    data: st.DataObject,
) -> None:
    smallest = min(memory)
    sizes = st.integers(1, smallest // 2 - 1)
    models = data.draw(st.lists(sizes, max_size=2 * len(memory)))
    assert_that(explain_misfit(_catalogue(memory, models)), Equals(''))
