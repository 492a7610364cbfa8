"""What the control log records of streams, so that it outlives all processes.

Earlier builds do not know of it: they ignore the changes, and their snapshots
lack the record. So a service that is not recorded may have streams of any
build.
"""

from typing import final

import msgspec

from persimmonhold.streams._served_builds import ServedBuilds


@final
class StreamChange(msgspec.Struct, frozen=True, omit_defaults=True):
    """A change of the record; `builds` replaces those of all services."""

    builds: tuple[ServedBuilds, ...] | None = None


@final
class StreamRecord:
    """The recorded builds by service. Changes are applied in log order."""

    __slots__ = ('builds',)

    def __init__(self, builds: tuple[ServedBuilds, ...] = ()) -> None:
        """Create a record as a snapshot has it."""
        self.builds = {one.service: one for one in builds}

    def apply(self, change: StreamChange) -> None:
        """Apply a committed change."""
        if change.builds is not None:
            self.builds = {one.service: one for one in change.builds}
