"""The file that names the processes of a deployment."""

from typing import Literal, final

import msgspec


@final
class VmDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A VM; addresses are `ip:port`, `operators` is null without control."""

    name: str
    settings: str
    callers: str
    operators: str | None
    failure_domain: str


@final
class UpstreamDocument(msgspec.Struct, frozen=True, kw_only=True):
    """A stand-in upstream."""

    name: str
    kind: Literal['engine', 'service']
    settings: str
    address: str


@final
class DeploymentDocument(msgspec.Struct, frozen=True, kw_only=True):
    """The document `deployment.json`."""

    deployment: str
    vms: tuple[VmDocument, ...]
    upstreams: tuple[UpstreamDocument, ...]
