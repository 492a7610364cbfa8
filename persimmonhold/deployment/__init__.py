"""Loopback deployments of the reference sizes, and catalogue files."""

from persimmonhold.deployment._catalogue_text import (
    format_catalogue,
    parse_catalogue,
)
from persimmonhold.deployment._deployment_document import (
    DeploymentDocument,
    UpstreamDocument,
    VmDocument,
)
from persimmonhold.deployment._deployment_plan import (
    STATUS_SERVICE,
    DeploymentPlan,
    PlannedVm,
)
from persimmonhold.deployment._deployment_shape import (
    HOOGWERK,
    LEVY,
    SHAPES,
    DeploymentShape,
)
from persimmonhold.deployment._deployment_writer import DeploymentWriter

__all__ = (
    'HOOGWERK',
    'LEVY',
    'SHAPES',
    'STATUS_SERVICE',
    'DeploymentDocument',
    'DeploymentPlan',
    'DeploymentShape',
    'DeploymentWriter',
    'PlannedVm',
    'UpstreamDocument',
    'VmDocument',
    'parse_catalogue',
    'format_catalogue',
)
