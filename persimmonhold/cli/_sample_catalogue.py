"""The catalogue that the dev command applies at its start."""

from typing import Final

from persimmonhold.catalogue import (
    Accelerator,
    AdapterEntry,
    CallRule,
    CatalogueEntry,
    ModelEntry,
    ServiceClass,
    ServiceEntry,
    UpstreamEntry,
)

_OWNER: Final = 'sample'
_GIGABYTE: Final = 1_000_000_000
ENGINE_MEMORY_BYTES: Final = 80 * _GIGABYTE
_WEIGHT_BYTES: Final = 14 * _GIGABYTE
_KV_FLOOR_BYTES: Final = 4 * _GIGABYTE
_ADAPTER_BYTES: Final = _GIGABYTE // 5
_ALL_CALLS_IDEMPOTENT: Final = CallRule(
    method='*', path_prefix='', idempotent=True
)
_READS_IDEMPOTENT: Final = CallRule(
    method='GET', path_prefix='', idempotent=True
)


def sample_catalogue(
    engines: dict[str, str],
    services: dict[str, str],
) -> tuple[CatalogueEntry, ...]:
    """Return the sample entries; both arguments map names to `ip:port`."""
    return (
        ServiceEntry(
            name='lodgements', owner=_OWNER, rules=(_READS_IDEMPOTENT,)
        ),
        ServiceEntry(
            name='status', owner=_OWNER, rules=(_ALL_CALLS_IDEMPOTENT,)
        ),
        *(_build_engine(name, address) for name, address in engines.items()),
        *(
            _build_service_replica(name, address)
            for name, address in services.items()
        ),
        _build_model('tutor', ServiceClass.interactive),
        _build_model('reviewer', ServiceClass.batch),
        AdapterEntry(
            name='tutor-harness',
            owner=_OWNER,
            version='1',
            base='tutor',
            weight_bytes=_ADAPTER_BYTES,
        ),
    )


def _build_model(name: str, service_class: ServiceClass) -> ModelEntry:
    return ModelEntry(
        name=name,
        owner=_OWNER,
        version='1',
        weight_bytes=_WEIGHT_BYTES,
        kv_floor_bytes=_KV_FLOOR_BYTES,
        service_class=service_class,
    )


def _build_engine(name: str, address: str) -> UpstreamEntry:
    return UpstreamEntry(
        name=name,
        owner=_OWNER,
        address=address,
        failure_domain='local',
        accelerators=(
            Accelerator(name='a0', memory_bytes=ENGINE_MEMORY_BYTES),
        ),
    )


def _build_service_replica(name: str, address: str) -> UpstreamEntry:
    return UpstreamEntry(
        name=f'{name}-1',
        owner=_OWNER,
        address=address,
        failure_domain='local',
        service=name,
    )
