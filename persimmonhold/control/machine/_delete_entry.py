"""The command that deletes a catalogue entry."""

from typing import final

import msgspec


@final
class DeleteEntry(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag='delete_entry',
):
    """Compare-and-set on the revision of the entry."""

    operator: str
    command_id: str
    at_ms: int
    expected_revision: int
    name: str
    reason: str = ''
