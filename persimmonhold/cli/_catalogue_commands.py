"""The commands about the catalogue."""

import asyncio
from pathlib import Path
from typing import Any, Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.cli._exit_code import ExitCode
from persimmonhold.cli._operator_session import OperatorSession
from persimmonhold.control.machine import HistoryRecord, verify_history
from persimmonhold.deployment import read_catalogue
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.operations import (
    ENTRIES_PATH,
    OperatorClient,
    OperatorReply,
    apply_entry,
)

_POLL_S: Final = 0.2
_HISTORY: Final = '/catalogue/v1/history'
_STATUS: Final = '/catalogue/v1/status'
_APPLY_ORDER: Final = ('service', 'upstream', 'model', 'adapter')


@final
class CatalogueCommands:
    """Change the catalogue and read it back."""

    def __init__(self, session: OperatorSession) -> None:
        """Create the group for a session."""
        self._session = session

    def apply(self, file: str, reason: str = '') -> CommandOutput:
        """Create or update every entry of an INI file.

        Args:
            file: Path of the file; see docs/operating/change-the-catalogue.md.
            reason: Why, for the history.
        """
        try:
            text = Path(file).read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            return failure_output(_unreadable(file, str(error)))
        entries = read_catalogue(text, file)
        if isinstance(entries, Failed):
            return failure_output(*entries.failure())
        ordered = sorted(
            entries.unwrap(),
            key=lambda entry: _APPLY_ORDER.index(
                msgspec.to_builtins(entry)['kind'],
            ),
        )
        return self._session.run(lambda client: _apply(client, ordered, reason))

    def get(self, name: str = '') -> CommandOutput:
        """Show one entry, or all of them.

        Args:
            name: Name of the entry; empty for all.
        """
        target = f'{ENTRIES_PATH}/{name}' if name else ENTRIES_PATH
        return self._session.run(lambda client: _show(client, target))

    def delete(self, name: str, reason: str = '') -> CommandOutput:
        """Delete an entry at the revision that is now in force.

        Args:
            name: Name of the entry.
            reason: Why, for the history.
        """
        return self._session.run(
            lambda client: _delete(client, name, reason),
        )

    def history(self, since: int = 0, verify: bool = False) -> CommandOutput:
        """Show who changed what and when.

        Args:
            since: Show changes after this revision.
            verify: Prove that the chain from the first change is whole.
        """
        return self._session.run(
            lambda client: _history(client, since, verify=verify),
        )

    def wait(self, revision: int, timeout_s: float = 10) -> CommandOutput:
        """Wait until a revision is in force at every live VM.

        Args:
            revision: The revision to wait for.
            timeout_s: Longest wait; then the VMs that are behind are named.
        """
        return self._session.run(
            lambda client: _wait(client, revision, timeout_s),
        )


async def _apply(
    client: OperatorClient,
    entries: list[Any],
    reason: str,
) -> CommandOutput:
    client.reason = reason
    listing = await _read(client, ENTRIES_PATH)
    if isinstance(listing, Failure):
        return failure_output(listing)
    present = {stored['name']: stored for stored in listing['entries']}
    applied = []
    for entry in entries:
        known = present.get(entry.name)
        change = await apply_entry(client, entry, known)
        if isinstance(change, Failed):
            return failure_output(change.failure())
        applied.append(change.unwrap())
    revision = max((change.revision for change in applied), default=0)
    lines = [
        f'{change.kind:9} {change.name}'
        for change in applied
        if change.kind != 'unchanged'
    ]
    unchanged = len(applied) - len(lines)
    lines.append(f'{unchanged} unchanged; revision {revision}')
    return CommandOutput(
        text='\n'.join(lines),
        document={'revision': revision, 'changes': applied},
    )


async def _show(client: OperatorClient, target: str) -> CommandOutput:
    document = await _read(client, target)
    if isinstance(document, Failure):
        return failure_output(document)
    return CommandOutput(text=_entries_text(document), document=document)


def _entries_text(document: dict[str, Any]) -> str:
    """Return one line an entry, or the only entry in full."""
    listed = document.get('entries')
    if listed is None:
        return _indented(document)
    return '\n'.join(
        f'{entry["kind"]:9} {entry["name"]:28} r{entry["revision"]:<6}'
        f' {entry["owner"]}'
        for entry in listed
    )


async def _delete(
    client: OperatorClient,
    name: str,
    reason: str,
) -> CommandOutput:
    client.reason = reason
    target = f'{ENTRIES_PATH}/{name}'
    present = await _read(client, target)
    if isinstance(present, Failure):
        return failure_output(present)
    revision = present['revision']
    headers = {
        'if-match': f'"{revision}"',
        'persimmonhold-command-id': f'delete-{name}-{revision}',
    }
    reply = await client.send_change('DELETE', target, headers)
    if isinstance(reply, Failed):
        return failure_output(reply.failure())
    checked = reply.unwrap().to_result(f'delete {name}')
    if isinstance(checked, Failed):
        return failure_output(checked.failure())
    document = checked.unwrap()
    return CommandOutput(
        text=f'deleted {name}; revision {document["revision"]}',
        document=document,
    )


async def _history(
    client: OperatorClient,
    since: int,
    *,
    verify: bool,
) -> CommandOutput:
    floor = 0 if verify else since
    document = await _read(client, f'{_HISTORY}?since={floor}')
    if isinstance(document, Failure):
        return failure_output(document)
    records = msgspec.convert(document['history'], tuple[HistoryRecord, ...])
    broken = verify_history(records) if verify else ''
    if broken:
        return CommandOutput(
            text=f'persimmonhold: the history is broken: {broken}',
            document={'broken': broken},
            exit_code=ExitCode.audit_mismatch,
        )
    shown = [record for record in records if record.revision > since]
    lines = [
        f'r{record.revision:<6} {record.at_ms} {record.operator:12}'
        f' {record.action:7} {record.name}'
        for record in shown
    ]
    if verify:
        lines.append(f'the chain of {len(records)} changes is whole')
    return CommandOutput(text='\n'.join(lines), document={'history': shown})


async def _wait(
    client: OperatorClient,
    revision: int,
    timeout_s: float,
) -> CommandOutput:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        document = await _read(client, _STATUS)
        if isinstance(document, Failure):
            return failure_output(document)
        behind = _behind(document, revision)
        if not behind:
            text = f'revision {revision} is in force everywhere'
            return CommandOutput(text=text, document={'behind': []})
        if loop.time() >= deadline:
            return CommandOutput(
                text=f'persimmonhold: behind: {", ".join(behind)}',
                document={'behind': behind},
                exit_code=ExitCode.not_in_force,
            )
        await asyncio.sleep(_POLL_S)


def _behind(status: dict[str, Any], revision: int) -> list[str]:
    """Return who does not have the revision in force."""
    if int(status['revision']) < revision:
        return ['control']
    return [
        vm['name']
        for vm in status['vms']
        if vm.get('live', True) and int(vm.get('revision', 0)) < revision
    ]


async def _read(
    client: OperatorClient,
    target: str,
) -> dict[str, Any] | Failure:
    reply = await client.read(target)
    failure: Failure
    if isinstance(reply, Failed):
        failure = reply.failure()
        return failure
    answer: OperatorReply = reply.unwrap()
    checked = answer.to_result(f'read {target}')
    if isinstance(checked, Failed):
        failure = checked.failure()
        return failure
    return checked.unwrap()


def _indented(document: object) -> str:
    encoded = msgspec.json.encode(document)
    return msgspec.json.format(encoded, indent=2).decode()


def _unreadable(file: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.bad_settings,
        step='read file',
        peer=file,
        detail=detail,
    )
