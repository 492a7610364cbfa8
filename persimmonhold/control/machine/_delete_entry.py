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
    """Deletes an entry if its revision is `expected_revision`."""

    operator: str
    command_id: str
    at_ms: int
    expected_revision: int
    name: str
    reason: str = ''
