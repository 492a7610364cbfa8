"""The HTTP interface of operators."""

from typing import Any, Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.catalogue import CatalogueEntry, StoredEntry
from persimmonhold.control.machine import (
    Command,
    CommandStatus,
    DeleteEntry,
    PutEntry,
)
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.web import (
    COMMAND_ID,
    IF_MATCH,
    OPERATOR,
    Exchange,
    ExchangeHandler,
)

_ENTRIES: Final = '/catalogue/v1/entries'
_OK: Final = 200
_CREATED: Final = 201
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_PRECONDITION_FAILED: Final = 412
_UNAVAILABLE: Final = 503


@final
class OperatorHandler(ExchangeHandler):
    """Serves catalogue changes, status and history."""

    def __init__(self, node: ControlNode) -> None:
        """Create a handler in front of a replica."""
        self._node = node

    async def serve(self, exchange: Exchange) -> None:
        """Dispatch by path and method."""
        path = exchange.head.path
        if path == _ENTRIES:
            await self._list_entries(exchange)
        elif path.startswith(f'{_ENTRIES}/'):
            await self._serve_entry(exchange, path[len(_ENTRIES) + 1 :])
        elif path == '/catalogue/v1/status':
            await self._show_status(exchange)
        elif path == '/catalogue/v1/history':
            await self._show_history(exchange)
        else:
            await _refuse(exchange, _NOT_FOUND, 'unknown_path')

    async def _list_entries(self, exchange: Exchange) -> None:
        catalogue = self._node.machine.state.catalogue
        document = {
            'revision': catalogue.revision,
            'entries': [
                _entry_document(catalogue.entries[name])
                for name in sorted(catalogue.entries)
            ],
        }
        await exchange.respond_json(_OK, document)

    async def _serve_entry(self, exchange: Exchange, name: str) -> None:
        if exchange.head.method == 'GET':
            await self._read_entry(exchange, name)
        elif exchange.head.method == 'PUT':
            await self._put_entry(exchange, name)
        elif exchange.head.method == 'DELETE':
            await self._change(exchange, self._deletion(exchange, name))
        else:
            await _refuse(exchange, _BAD_REQUEST, 'unknown_method')

    async def _read_entry(self, exchange: Exchange, name: str) -> None:
        stored = self._node.machine.state.catalogue.entries.get(name)
        if stored is None:
            await _refuse(exchange, _NOT_FOUND, 'unknown_entry')
        else:
            await exchange.respond_json(_OK, _entry_document(stored))

    async def _put_entry(self, exchange: Exchange, name: str) -> None:
        body = await exchange.read_body()
        if isinstance(body, Failed):
            await _refuse(exchange, _BAD_REQUEST, 'unreadable_body')
            return
        try:
            entry = _decode_entry(body.unwrap(), name)
        except msgspec.DecodeError as error:
            await _refuse(exchange, _BAD_REQUEST, 'bad_entry', str(error))
            return
        command = PutEntry(
            operator=exchange.head.header(OPERATOR),
            command_id=exchange.head.header(COMMAND_ID),
            at_ms=self._node.now_ms(),
            expected_revision=_expected_revision(exchange),
            entry=entry,
        )
        await self._change(exchange, command)

    def _deletion(self, exchange: Exchange, name: str) -> DeleteEntry:
        return DeleteEntry(
            operator=exchange.head.header(OPERATOR),
            command_id=exchange.head.header(COMMAND_ID),
            at_ms=self._node.now_ms(),
            expected_revision=_expected_revision(exchange),
            name=name,
        )

    async def _change(self, exchange: Exchange, command: Command) -> None:
        proposed = await self._node.propose(command)
        if isinstance(proposed, Failed):
            detail = proposed.failure().describe()
            await _refuse(exchange, _UNAVAILABLE, 'no_quorum', detail)
            return
        result = proposed.unwrap()
        document = msgspec.to_builtins(result)
        if result.status is CommandStatus.done:
            await exchange.respond_json(_OK, document)
        elif result.status is CommandStatus.revision_conflict:
            document['reason'] = result.status
            await exchange.respond_json(_PRECONDITION_FAILED, document)
        else:
            document['reason'] = result.status
            await exchange.respond_json(_CONFLICT, document)

    async def _show_status(self, exchange: Exchange) -> None:
        state = self._node.machine.state
        document = {
            'revision': state.catalogue.revision,
            'index': state.index,
            'orders': list(state.orders.values()),
            'copies': list(state.copies.values()),
            'vms': list(state.vms.values()),
        }
        await exchange.respond_json(_OK, document)

    async def _show_history(self, exchange: Exchange) -> None:
        since = exchange.head.query.get('since', '0')
        floor = int(since) if since.isdecimal() else 0
        records = [
            record
            for record in self._node.machine.state.history
            if record.revision > floor
        ]
        await exchange.respond_json(_OK, {'history': records})


def _entry_document(stored: StoredEntry) -> dict[str, Any]:
    document: dict[str, Any] = msgspec.to_builtins(stored.entry)
    document['revision'] = stored.revision
    return document


def _decode_entry(body: bytes, name: str) -> CatalogueEntry:
    """Decode an entry as it was read; its revision is not part of it."""
    document = msgspec.json.decode(body, type=dict[str, Any])
    document.pop('revision', None)
    document.setdefault('name', name)
    entry: CatalogueEntry = msgspec.convert(document, CatalogueEntry)
    if entry.name != name:
        raise msgspec.ValidationError('`name` differs from the path')
    return entry


def _expected_revision(exchange: Exchange) -> int:
    text = exchange.head.header(IF_MATCH).strip('"')
    return int(text) if text.isdecimal() else -1


async def _refuse(
    exchange: Exchange,
    status: int,
    reason: str,
    detail: str = '',
) -> None:
    document = {'reason': reason, 'detail': detail, 'status': status}
    body = msgspec.json.encode(document)
    await exchange.respond(status, body, 'application/problem+json')
