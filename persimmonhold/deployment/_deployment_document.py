"""The format of `deployment.json`, which lists the processes to start."""

from typing import Literal, final

import msgspec


@final
class VmDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A VM: its settings file, failure domain and `ip:port` addresses.

    `operators` is null if the VM does not have the control role.
    """

    name: str
    settings: str
    callers: str
    operators: str | None
    failure_domain: str


@final
class UpstreamDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A stand-in upstream: its settings file and `ip:port` address."""

    name: str
    kind: Literal['engine', 'service']
    settings: str
    address: str


@final
class DeploymentDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The VMs and stand-in upstreams of a deployment."""

    deployment: str
    vms: tuple[VmDocument, ...]
    upstreams: tuple[UpstreamDocument, ...]
