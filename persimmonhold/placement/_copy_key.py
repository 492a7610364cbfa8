"""The key of a copy in the control state."""

from typing import TypeAlias

from persimmonhold.messages import Copy, Order

# The fields are target, version, upstream and accelerator.
CopyKey: TypeAlias = tuple[str, str, str, str]


def copy_key(subject: Copy | Order) -> CopyKey:
    """Return the key of a copy, or of the copy that an order targets."""
    return (
        subject.target,
        subject.version,
        subject.upstream,
        subject.accelerator,
    )
