"""The section `[vm]`."""

from typing import Annotated, final

import msgspec
from msgspec import Meta


@final
class VmSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Identity, failure domain and roles of this VM."""

    name: Annotated[
        str,
        Meta(
            pattern='^[a-z0-9][a-z0-9-]{0,62}$',
            description='Name of this VM, unique in the system.',
        ),
    ]
    failure_domain: Annotated[
        str,
        Meta(min_length=1, description='Failure domain of this VM.'),
    ]
    roles: Annotated[
        str,
        Meta(
            pattern='^(entry|control|entry,control)$',
            description='Roles: entry, control, or entry,control.',
        ),
    ] = 'entry'
    data_directory: Annotated[
        str,
        Meta(description='Folder of the control state, on a persistent disk.'),
    ] = ''

    memory_mb: Annotated[
        int,
        Meta(ge=0, description='Memory of this VM in MB; 0: unknown.'),
    ] = 0
    disk_mb: Annotated[
        int,
        Meta(
            ge=0,
            description='Disk for the control state in MB; 0: unknown.',
        ),
    ] = 0
    max_descriptors: Annotated[
        int,
        Meta(
            ge=0,
            description=(
                'Open descriptors that this VM allows; 0: as the system says.'
            ),
        ),
    ] = 0

    @property
    def has_entry(self) -> bool:
        """Whether this VM has the role entry and serves callers."""
        return 'entry' in self.roles

    @property
    def has_control(self) -> bool:
        """Whether this VM has the role control and holds control state."""
        return 'control' in self.roles
