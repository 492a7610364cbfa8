"""The sizes of the system that the soak runs."""

from typing import Final, Self, final

import msgspec

_CONTROL_COUNT: Final = 3


@final
class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of VMs, upstreams and callers.

    With `engine_count`, the streams run at engines, which hold some of
    `model_count` models each. Requests bear keys of `workspace_count` workspaces,
    if there are any. A caller thinks for up to `think_s` between requests. An
    engine loads a model in `load_s`. With `patient_callers`, so many for each
    entry take up long streams of rare models, and faults break those.
    Eager callers are those of an entry which use its connections to the end.
    A varied system has long and slow streams, small engines, upstreams that close
    idle connections early, requests around each stop, and more overlapping
    changes.
    """

    control_count: int = _CONTROL_COUNT
    entry_count: int
    upstream_count: int
    engine_count: int = 0
    model_count: int = 0
    workspace_count: int = 0
    domains: tuple[str, ...] = ('a',)
    callers_per_entry: int = 6
    pinned_callers: int = 3
    think_s: float = 0.2
    load_s: float = 1.5
    patient_callers: int = 0
    eager_callers: int = 0
    engine_slots: int = 16
    is_varied: bool = False

    @classmethod
    def small(cls, vm_count: int) -> Self:
        """Return a system of plain services, on so many VMs."""
        entry_count = max(1, vm_count - _CONTROL_COUNT)
        return cls(entry_count=entry_count, upstream_count=2 + entry_count // 2)

    @classmethod
    def large(cls, entry_count: int = 80, *, is_varied: bool = False) -> Self:
        """Return a system of engines, with workspaces and five control VMs."""
        return cls(
            control_count=5,
            entry_count=entry_count,
            upstream_count=6,
            engine_count=max(6, entry_count // 2),
            model_count=max(12, entry_count),
            workspace_count=16,
            domains=('a', 'b', 'c'),
            callers_per_entry=2,
            pinned_callers=1,
            think_s=2.5,
            eager_callers=int(is_varied),
            engine_slots=3 if is_varied else 16,
            is_varied=is_varied,
        )

    @classmethod
    def rare(cls, entry_count: int) -> Self:
        """Return a system of engines that hold 2 of 3 models, and load slowly."""
        engine_count = max(8, round(entry_count * 45 / 80))
        return msgspec.structs.replace(
            cls.large(entry_count),
            engine_count=engine_count,
            model_count=round(engine_count * 196 / 45),
            load_s=4.0,
            patient_callers=3,
            callers_per_entry=1,
        )
