"""Creates or updates catalogue entries to match a file."""

import enum
import hashlib
from typing import Any, Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.catalogue import CatalogueEntry
from persimmonhold.failures import Failure
from persimmonhold.operations._operator_client import OperatorClient

ENTRIES_PATH: Final = '/catalogue/v1/entries'
_COMMAND_ID_CHARACTERS: Final = 32


@final
@enum.unique
class ChangeKind(enum.StrEnum):
    """The effect of applying an entry."""

    created = 'created'
    updated = 'updated'
    unchanged = 'unchanged'


@final
class AppliedChange(msgspec.Struct, frozen=True, kw_only=True):
    """An applied entry, the effect, and the revision of the entry after it."""

    name: str
    kind: ChangeKind
    revision: int


async def apply_entry(
    client: OperatorClient,
    entry: CatalogueEntry,
    current: dict[str, Any] | None,
) -> Result[AppliedChange, Failure]:
    """Create or update an entry at control; send nothing if it is equal.

    `current` is the entry as read from control, with its revision, or None if
    control has no such entry.
    """
    desired: dict[str, Any] = msgspec.to_builtins(entry)
    current_fields = dict(current or {})
    revision = int(current_fields.pop('revision', 0))
    if current_fields == desired:
        return Success(
            AppliedChange(
                name=entry.name,
                kind=ChangeKind.unchanged,
                revision=revision,
            ),
        )
    headers = {
        'if-match': f'"{revision}"',
        'persimmonhold-command-id': derive_command_id(entry, revision),
    }
    target = f'{ENTRIES_PATH}/{entry.name}'
    reply = await client.send_change('PUT', target, headers, desired)
    if isinstance(reply, Failed):
        return reply
    document = reply.unwrap().to_result(f'apply {entry.name}')
    if isinstance(document, Failed):
        return document
    return Success(
        AppliedChange(
            name=entry.name,
            kind=ChangeKind.updated if current else ChangeKind.created,
            revision=int(document.unwrap()['revision']),
        ),
    )


def derive_command_id(entry: CatalogueEntry, revision: int) -> str:
    """Return a command id that is the same for each resend of a change."""
    content = msgspec.json.encode((entry, revision))
    return hashlib.sha256(content).hexdigest()[:_COMMAND_ID_CHARACTERS]
