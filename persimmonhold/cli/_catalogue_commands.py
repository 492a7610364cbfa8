"""Commands that change and show the catalogue."""

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
from persimmonhold.cli._operator_client_runner import OperatorClientRunner
from persimmonhold.control.machine import HistoryRecord, verify_history
from persimmonhold.deployment import parse_catalogue
from persimmonhold.failures import Failure, FailureKind
from persimmonhold.operations import (
    ENTRIES_PATH,
    OperatorClient,
    OperatorReply,
    apply_entry,
)

_POLL_INTERVAL_S: Final = 0.2
_HISTORY_PATH: Final = '/catalogue/v1/history'
_STATUS_PATH: Final = '/catalogue/v1/status'
_APPLY_ORDER: Final = ('service', 'upstream', 'model', 'adapter')


@final
class CatalogueCommands:
    """Change or show the catalogue of entries."""

    def __init__(self, client_runner: OperatorClientRunner) -> None:
        """Create the command group; `client_runner` runs each of them."""
        self._client_runner = client_runner

    def apply(self, file: str, reason: str = '') -> CommandOutput:
        """Create or update every entry of an INI file.

        Args:
            file: Path of the file; see docs/operating/change-the-catalogue.md.
            reason: Reason that the history records.
        """
        try:
            text = Path(file).read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            return failure_output(_unreadable_file_failure(file, str(error)))
        entries = parse_catalogue(text, file)
        if isinstance(entries, Failed):
            return failure_output(*entries.failure())
        ordered = sorted(
            entries.unwrap(),
            key=lambda entry: _APPLY_ORDER.index(
                msgspec.to_builtins(entry)['kind'],
            ),
        )
        return self._client_runner.run_with_client(
            lambda client: _apply_entries(client, ordered, reason)
        )

    def get(self, name: str = '') -> CommandOutput:
        """Show one entry, or all of them.

        Args:
            name: Name of the entry; empty for all.
        """
        target = f'{ENTRIES_PATH}/{name}' if name else ENTRIES_PATH
        return self._client_runner.run_with_client(
            lambda client: _show_entries(client, target)
        )

    def delete(self, name: str, reason: str = '') -> CommandOutput:
        """Delete an entry at its current revision.

        The deletion is refused if the entry changes at the same time.

        Args:
            name: Name of the entry.
            reason: Reason that the history records.
        """
        return self._client_runner.run_with_client(
            lambda client: _delete_entry(client, name, reason),
        )

    def history(self, since: int = 0, verify: bool = False) -> CommandOutput:
        """Show the changes of the catalogue with time and operator.

        Args:
            since: Show changes after this revision.
            verify: Check the hash chain from the first change on.
        """
        return self._client_runner.run_with_client(
            lambda client: _show_history(client, since, verify=verify),
        )

    def wait(self, revision: int, timeout_s: float = 10) -> CommandOutput:
        """Wait until a revision is in force at every live VM.

        Args:
            revision: The revision to wait for.
            timeout_s: Longest wait in seconds; after it, the command lists
                the VMs that do not have the revision.
        """
        return self._client_runner.run_with_client(
            lambda client: _wait_for_revision(client, revision, timeout_s),
        )


async def _apply_entries(
    client: OperatorClient,
    entries: list[Any],
    reason: str,
) -> CommandOutput:
    client.reason = reason
    listing = await _read_document(client, ENTRIES_PATH)
    if isinstance(listing, Failure):
        return failure_output(listing)
    present = {stored['name']: stored for stored in listing['entries']}
    applied = []
    for entry in entries:
        current = present.get(entry.name)
        change = await apply_entry(client, entry, current)
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


async def _show_entries(client: OperatorClient, target: str) -> CommandOutput:
    document = await _read_document(client, target)
    if isinstance(document, Failure):
        return failure_output(document)
    return CommandOutput(text=_format_entries(document), document=document)


def _format_entries(document: dict[str, Any]) -> str:
    """Format a list with one line per entry, or a single entry as JSON."""
    listed = document.get('entries')
    if listed is None:
        return _format_json(document)
    return '\n'.join(
        f'{entry["kind"]:9} {entry["name"]:28} r{entry["revision"]:<6}'
        f' {entry["owner"]}'
        for entry in listed
    )


async def _delete_entry(
    client: OperatorClient,
    name: str,
    reason: str,
) -> CommandOutput:
    client.reason = reason
    target = f'{ENTRIES_PATH}/{name}'
    present = await _read_document(client, target)
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
    result = reply.unwrap().to_result(f'delete {name}')
    if isinstance(result, Failed):
        return failure_output(result.failure())
    document = result.unwrap()
    return CommandOutput(
        text=f'deleted {name}; revision {document["revision"]}',
        document=document,
    )


async def _show_history(
    client: OperatorClient,
    since: int,
    *,
    verify: bool,
) -> CommandOutput:
    query_since = 0 if verify else since
    document = await _read_document(
        client, f'{_HISTORY_PATH}?since={query_since}'
    )
    if isinstance(document, Failure):
        return failure_output(document)
    records = msgspec.convert(document['history'], tuple[HistoryRecord, ...])
    chain_error = verify_history(records) if verify else ''
    if chain_error:
        return CommandOutput(
            text=f'persimmonhold: the hash chain is invalid: {chain_error}',
            document={'broken': chain_error},
            exit_code=ExitCode.audit_mismatch,
        )
    shown = [record for record in records if record.revision > since]
    lines = [
        f'r{record.revision:<6} {record.at_ms} {record.operator:12}'
        f' {record.action:7} {record.name}'
        for record in shown
    ]
    if verify:
        lines.append(f'verified the hash chain of {len(records)} changes')
    return CommandOutput(text='\n'.join(lines), document={'history': shown})


async def _wait_for_revision(
    client: OperatorClient,
    revision: int,
    timeout_s: float,
) -> CommandOutput:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        document = await _read_document(client, _STATUS_PATH)
        if isinstance(document, Failure):
            return failure_output(document)
        lagging = _find_lagging_vms(document, revision)
        if not lagging:
            text = f'revision {revision} is in force at every live VM'
            return CommandOutput(text=text, document={'behind': []})
        if loop.time() >= deadline:
            return CommandOutput(
                text=f'persimmonhold: revision {revision} is not yet in force at'
                f' {", ".join(lagging)}',
                document={'behind': lagging},
                exit_code=ExitCode.not_in_force,
            )
        await asyncio.sleep(_POLL_INTERVAL_S)


def _find_lagging_vms(status: dict[str, Any], revision: int) -> list[str]:
    """Return the live VMs that do not have the revision in force.

    Returns only `control` if the status itself is at an older revision.
    """
    if int(status['revision']) < revision:
        return ['control']
    return [
        vm['name']
        for vm in status['vms']
        if vm.get('live', True) and int(vm.get('revision', 0)) < revision
    ]


async def _read_document(
    client: OperatorClient,
    target: str,
) -> dict[str, Any] | Failure:
    reply = await client.get(target)
    failure: Failure
    if isinstance(reply, Failed):
        failure = reply.failure()
        return failure
    operator_reply: OperatorReply = reply.unwrap()
    result = operator_reply.to_result(f'read {target}')
    if isinstance(result, Failed):
        failure = result.failure()
        return failure
    return result.unwrap()


def _format_json(document: object) -> str:
    encoded = msgspec.json.encode(document)
    return msgspec.json.format(encoded, indent=2).decode()


def _unreadable_file_failure(file: str, detail: str) -> Failure:
    return Failure(
        kind=FailureKind.bad_settings,
        step='read file',
        peer=file,
        detail=detail,
    )
