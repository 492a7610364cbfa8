"""Assigns loopback addresses to the processes of a deployment.

VM `i` has the address 127.0.1.i and upstream `j` 127.0.2.j, both counted from
1. The ports of a VM for callers, operators and peers are consecutive.
"""

from typing import Final, final

import msgspec

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
from persimmonhold.deployment._deployment_shape import DeploymentShape

STATUS_SERVICE: Final = 'status'
_CONTROL_GROUP_SIZES: Final = (5, 3, 1)
_ALL_CALLS_IDEMPOTENT: Final = CallRule(
    method='*', path_prefix='', idempotent=True
)
_READS_IDEMPOTENT: Final = CallRule(
    method='GET', path_prefix='', idempotent=True
)


@final
class PlannedVm(msgspec.Struct, frozen=True, kw_only=True):
    """A VM and its `ip:port` addresses."""

    name: str
    failure_domain: str
    has_control: bool
    callers: str
    operators: str
    peers: str


@final
class DeploymentPlan:
    """The processes of a deployment and the entries of its catalogue."""

    __slots__ = ('port', 'shape', 'vms')

    def __init__(
        self, shape: DeploymentShape, vm_count: int, port: int
    ) -> None:
        """Plan `vm_count` VMs; `port` is the first port used on an address."""
        self.shape = shape
        self.port = port
        self.vms = tuple(
            self._plan_vm(number, vm_count) for number in range(vm_count)
        )

    def build_upstreams(self) -> tuple[UpstreamEntry, ...]:
        """Return the entries of the engines and of the service replicas."""
        engines = [
            self._build_engine(number)
            for number in range(self.shape.engine_count)
        ]
        replicas = [
            self._build_service_replica(number)
            for number in range(self.shape.service_replica_count)
        ]
        return (*engines, *replicas)

    def build_catalogue(self) -> tuple[CatalogueEntry, ...]:
        """Return all entries, each after the entries that it refers to."""
        shape = self.shape
        return (
            *self._build_services(),
            *self.build_upstreams(),
            *(self._build_model(number) for number in range(shape.model_count)),
            *(
                self._build_adapter(number)
                for number in range(shape.adapter_count)
            ),
        )

    def build_first_adapter(self) -> AdapterEntry:
        """Return the entry of the first adapter in the catalogue."""
        return self._build_adapter(0)

    def model_name(self, number: int) -> str:
        """Return the name of a model; numbers start at 0, names at 1."""
        return f'{self.shape.model_name_prefix}-{number + 1}'

    def _plan_vm(self, number: int, vm_count: int) -> PlannedVm:
        host = f'127.0.1.{number + 1}'
        return PlannedVm(
            name=f'vm{number + 1}',
            failure_domain=self._choose_failure_domain(number),
            has_control=number < _choose_control_group_size(vm_count),
            callers=f'{host}:{self.port}',
            operators=f'{host}:{self.port + 1}',
            peers=f'{host}:{self.port + 2}',
        )

    def _choose_failure_domain(self, number: int) -> str:
        domains = self.shape.failure_domains
        return domains[number % len(domains)]

    def _build_engine(self, number: int) -> UpstreamEntry:
        accelerator = Accelerator(
            name='a0',
            memory_bytes=self.shape.memory_bytes,
        )
        return UpstreamEntry(
            name=f'engine-{number + 1}',
            owner=self.shape.owner,
            address=self._upstream_address(number),
            failure_domain=self._choose_failure_domain(number),
            accelerators=(accelerator,),
        )

    def _build_service_replica(self, number: int) -> UpstreamEntry:
        services = (self.shape.calls_service, STATUS_SERVICE)
        service = services[number % len(services)]
        return UpstreamEntry(
            name=f'{service}-{number // len(services) + 1}',
            owner=self.shape.owner,
            address=self._upstream_address(self.shape.engine_count + number),
            failure_domain=self._choose_failure_domain(number),
            service=service,
        )

    def _upstream_address(self, number: int) -> str:
        return f'127.0.2.{number + 1}:{self.port}'

    def _build_services(self) -> tuple[ServiceEntry, ...]:
        owner = self.shape.owner
        return (
            ServiceEntry(
                name=self.shape.calls_service,
                owner=owner,
                rules=(_READS_IDEMPOTENT,),
            ),
            ServiceEntry(
                name=STATUS_SERVICE,
                owner=owner,
                rules=(_ALL_CALLS_IDEMPOTENT,),
                service_class=ServiceClass.check,
            ),
        )

    def _build_model(self, number: int) -> ModelEntry:
        classes = self.shape.service_classes
        return ModelEntry(
            name=self.model_name(number),
            owner=self.shape.owner,
            version='1',
            weight_bytes=self.shape.weight_bytes(number),
            kv_floor_bytes=self.shape.kv_floor_bytes,
            service_class=ServiceClass(classes[number % len(classes)]),
        )

    def _build_adapter(self, number: int) -> AdapterEntry:
        base = number % self.shape.model_count
        classes = self.shape.service_classes
        return AdapterEntry(
            name=f'{self.model_name(base)}-topic-{number + 1}',
            owner=self.shape.owner,
            version='1',
            base=self.model_name(base),
            weight_bytes=self.shape.adapter_bytes,
            service_class=ServiceClass(classes[base % len(classes)]),
        )


def _choose_control_group_size(vm_count: int) -> int:
    """Return the largest control group size that `vm_count` allows.

    Sizes are odd, because an even one tolerates no more failures than the odd
    one below it.
    """
    return next(size for size in _CONTROL_GROUP_SIZES if size <= vm_count)
