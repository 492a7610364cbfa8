"""Views and reports for the tests of routing and admission."""

from collections.abc import Mapping, Sequence
from random import Random

from persimmonhold.catalogue import (
    Accelerator,
    AdapterEntry,
    Catalogue,
    CatalogueEntry,
    ModelEntry,
    ServiceEntry,
    UpstreamEntry,
)
from persimmonhold.messages import (
    ControlView,
    Copy,
    CopyState,
    LoadReport,
    VmRecord,
)
from persimmonhold.routing import Router, RouterSettings

DOMAINS = ('d0', 'd1', 'd2')


def engine(number: int) -> UpstreamEntry:
    return UpstreamEntry(
        name=f'e{number}',
        owner='o',
        address=f'127.0.0.1:{9000 + number}',
        failure_domain=DOMAINS[number % len(DOMAINS)],
        accelerators=(Accelerator(name='a0', memory_bytes=1),),
    )


def replica(number: int, service: str) -> UpstreamEntry:
    return UpstreamEntry(
        name=f'{service}-{number}',
        owner='o',
        address=f'127.0.0.1:{9100 + number}',
        failure_domain=DOMAINS[number % len(DOMAINS)],
        service=service,
    )


def model(name: str) -> ModelEntry:
    return ModelEntry(
        name=name,
        owner='o',
        version='2',
        weight_bytes=1,
        kv_floor_bytes=1,
    )


def adapter(name: str, base: str) -> AdapterEntry:
    return AdapterEntry(
        name=name,
        owner='o',
        version='1',
        base=base,
        weight_bytes=1,
    )


def copy_of(
    target: str,
    number: int,
    state: CopyState = CopyState.serving,
    version: str = '2',
) -> Copy:
    return Copy(
        target=target,
        version=version,
        upstream=f'e{number}',
        accelerator='a0',
        state=state,
        fence=1,
    )


def view_of(
    engines: int,
    targets: Mapping[str, Sequence[int]],
    replicas: int = 0,
    extra: Sequence[Copy] = (),
    entries: int = 1,
) -> ControlView:
    found: list[CatalogueEntry] = [engine(number) for number in range(engines)]
    found.extend(replica(number, 'status') for number in range(replicas))
    found.append(ServiceEntry(name='status', owner='o'))
    found.extend(model(name) for name in targets)
    found.append(adapter('adapter', 'm'))
    catalogue = Catalogue()
    for entry in found:
        catalogue = catalogue.with_entry(entry)
    copies = [
        copy_of(target, number)
        for target, numbers in targets.items()
        for number in numbers
    ]
    vms = tuple(
        VmRecord(name=f'v{number}', failure_domain='d0', callers='127.0.0.1:1')
        for number in range(entries)
    )
    return ControlView(
        index=1,
        catalogue=catalogue,
        copies=(*copies, *extra),
        vms=vms,
    )


def report(
    running: int = 0,
    waiting: int = 0,
    slots: int = 4,
    age_ms: float = 0,
    *,
    leaving: bool = False,
    boot_id: str = 'b',
) -> LoadReport:
    return LoadReport(
        boot_id=boot_id,
        age_ms=age_ms,
        running=running,
        waiting=waiting,
        slots=slots,
        kv_used_fraction=0,
        prefill_tokens_per_second=8000,
        decode_step_ms=20,
        leaving=leaving,
    )


def router_over(
    view: ControlView,
    seed: int = 0,
    name: str = 'v0',
    settings: RouterSettings | None = None,
) -> Router:
    router = Router('d0', name, settings or RouterSettings(), Random(seed))
    router.apply_view(view, 0)
    return router
