"""The HTTP interface of operators.

Every control VM accepts requests; a VM that is not the leader forwards them
to the leader. The leader answers reads after a read barrier, so an operator
sees all changes accepted before the read.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeAlias, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold._json import decode_json
from persimmonhold.catalogue import CatalogueEntry, StoredEntry
from persimmonhold.control.machine import (
    CommandResult,
    CommandStatus,
    DeleteEntry,
    DrainVm,
    ForgetVm,
    OperatorChange,
    PutEntry,
)
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.control.shell._leader_forwarder import LeaderForwarder
from persimmonhold.control.shell._operator_exchange import OperatorExchange
from persimmonhold.control.shell._operator_refusal import (
    REFUSAL_BY_COMMAND_STATUS,
    OperatorRefusal,
)
from persimmonhold.control.shell._status_document import (
    claims_document,
    control_document,
    explanation_document,
    status_document,
)
from persimmonhold.observability import Metrics
from persimmonhold.web import (
    COMMAND_ID_HEADER,
    OPERATOR_HEADER,
    Exchange,
    ExchangeHandler,
)

REASON: Final = 'persimmonhold-reason'
_PATH_PREFIX: Final = '/catalogue/v1/'
_OK: Final = 200
_RouteHandler: TypeAlias = Callable[[OperatorExchange, str], Awaitable[None]]
_ExplainFunction: TypeAlias = Callable[[str], object]


def _no_decisions(name: str) -> object:
    return []


@final
class OperatorHandler(ExchangeHandler):
    """Serves catalogue changes, status, history, claims and VM changes."""

    def __init__(
        self,
        node: ControlNode,
        metrics: Metrics | None = None,
        explain: _ExplainFunction = _no_decisions,
    ) -> None:
        """Create a handler for a replica.

        `explain` returns the placement decisions about a model or adapter.
        """
        self._node = node
        self._metrics = metrics or Metrics()
        self._explain = explain
        self._forwarder = LeaderForwarder(node)
        self._routes: dict[str, _RouteHandler] = {
            'entries': self._serve_entries,
            'status': self._show_status,
            'history': self._show_history,
            'claims': self._show_claims,
            'explain': self._show_explanation,
            'drain': self._change_vm,
            'undrain': self._change_vm,
            'forget': self._change_vm,
        }

    async def serve(self, exchange: Exchange) -> None:
        """Serve the request, or forward it if another VM is the leader."""
        operator_exchange = OperatorExchange(exchange, self._metrics)
        path = exchange.head.path
        if path == '/healthz':
            control = control_document(self._node)
            await operator_exchange.respond({
                'status': 'ok',
                'control': control,
            })
        elif path == '/metrics':
            body, media_type = self._metrics.render(
                operator_exchange.header('accept')
            )
            await exchange.respond(_OK, body, media_type)
        elif self._node.is_leader:
            await self._serve_as_leader(operator_exchange, path)
        else:
            await self._forwarder.forward(operator_exchange)

    async def _serve_as_leader(
        self, operator_exchange: OperatorExchange, path: str
    ) -> None:
        route_name, _, name = path.removeprefix(_PATH_PREFIX).partition('/')
        handler = self._routes.get(route_name)
        if handler is None or not path.startswith(_PATH_PREFIX):
            await operator_exchange.refuse(OperatorRefusal.unknown_path, path)
            return
        if operator_exchange.method == 'GET':
            barrier = await self._node.read_barrier()
            if isinstance(barrier, Failed):
                detail = barrier.failure().describe()
                await operator_exchange.refuse(
                    OperatorRefusal.no_quorum, detail
                )
                return
        await handler(operator_exchange, name)

    async def _serve_entries(
        self,
        operator_exchange: OperatorExchange,
        name: str,
    ) -> None:
        if operator_exchange.method == 'GET':
            await self._show_entries(operator_exchange, name)
        elif name and operator_exchange.method == 'PUT':
            await self._put_entry(operator_exchange, name)
        elif name and operator_exchange.method == 'DELETE':
            await self._delete_entry(operator_exchange, name)
        else:
            await operator_exchange.refuse(
                OperatorRefusal.unknown_method,
                operator_exchange.method,
            )

    async def _show_entries(
        self,
        operator_exchange: OperatorExchange,
        name: str,
    ) -> None:
        catalogue = self._node.state.catalogue
        stored = catalogue.entries.get(name)
        if stored is not None:
            await operator_exchange.respond(_entry_document(stored))
            return
        if name:
            await operator_exchange.refuse(OperatorRefusal.unknown_entry, name)
            return
        entries = [
            _entry_document(catalogue.entries[entry_name])
            for entry_name in sorted(catalogue.entries)
        ]
        await operator_exchange.respond({
            'revision': catalogue.revision,
            'entries': entries,
        })

    async def _put_entry(
        self, operator_exchange: OperatorExchange, name: str
    ) -> None:
        body = await operator_exchange.exchange.read_body()
        if isinstance(body, Failed):
            detail = body.failure().describe()
            await operator_exchange.refuse(
                OperatorRefusal.body_too_large, detail
            )
            return
        missing_header = operator_exchange.find_header_error(
            needs_revision=True
        )
        if missing_header:
            await operator_exchange.refuse(
                OperatorRefusal.missing_header, missing_header
            )
            return
        try:
            entry = _decode_entry(body.unwrap(), name)
        except msgspec.DecodeError as error:
            await operator_exchange.refuse(
                OperatorRefusal.bad_entry, str(error)
            )
            return
        command = PutEntry(
            operator=operator_exchange.header(OPERATOR_HEADER),
            command_id=operator_exchange.header(COMMAND_ID_HEADER),
            at_ms=self._node.now_ms(),
            expected_revision=operator_exchange.expected_revision() or 0,
            entry=entry,
            reason=operator_exchange.header(REASON),
        )
        await self._commit_change(operator_exchange, command)

    async def _delete_entry(
        self,
        operator_exchange: OperatorExchange,
        name: str,
    ) -> None:
        missing_header = operator_exchange.find_header_error(
            needs_revision=True
        )
        if missing_header:
            await operator_exchange.refuse(
                OperatorRefusal.missing_header, missing_header
            )
            return
        command = DeleteEntry(
            operator=operator_exchange.header(OPERATOR_HEADER),
            command_id=operator_exchange.header(COMMAND_ID_HEADER),
            at_ms=self._node.now_ms(),
            expected_revision=operator_exchange.expected_revision() or 0,
            name=name,
            reason=operator_exchange.header(REASON),
        )
        await self._commit_change(operator_exchange, command)

    async def _change_vm(
        self, operator_exchange: OperatorExchange, name: str
    ) -> None:
        if operator_exchange.method != 'POST':
            await operator_exchange.refuse(
                OperatorRefusal.unknown_method,
                operator_exchange.method,
            )
            return
        missing_header = operator_exchange.find_header_error(
            needs_revision=False
        )
        if missing_header:
            await operator_exchange.refuse(
                OperatorRefusal.missing_header, missing_header
            )
            return
        action = operator_exchange.exchange.head.path.removeprefix(_PATH_PREFIX)
        command = DrainVm(
            operator=operator_exchange.header(OPERATOR_HEADER),
            command_id=operator_exchange.header(COMMAND_ID_HEADER),
            at_ms=self._node.now_ms(),
            name=name,
            draining=action.startswith('drain/'),
            reason=operator_exchange.header(REASON),
        )
        if action.startswith('forget/'):
            await self._commit_change(
                operator_exchange, _to_forget_command(command)
            )
        else:
            await self._commit_change(operator_exchange, command)

    async def _commit_change(
        self,
        operator_exchange: OperatorExchange,
        command: OperatorChange,
    ) -> None:
        proposed = await self._node.commit_change(command)
        if isinstance(proposed, Failed):
            detail = proposed.failure().describe()
            await operator_exchange.refuse(OperatorRefusal.no_quorum, detail)
            return
        command_result = proposed.unwrap()
        if command_result.status is CommandStatus.done:
            operator_exchange.count_outcome(command_result.status)
            await operator_exchange.respond(command_result)
        else:
            await _refuse_command(operator_exchange, command, command_result)

    async def _show_status(
        self,
        operator_exchange: OperatorExchange,
        name: str,
    ) -> None:
        await operator_exchange.respond(status_document(self._node))

    async def _show_claims(
        self,
        operator_exchange: OperatorExchange,
        name: str,
    ) -> None:
        await operator_exchange.respond(claims_document(self._node.state))

    async def _show_history(
        self,
        operator_exchange: OperatorExchange,
        name: str,
    ) -> None:
        since = operator_exchange.exchange.head.query.get('since', '0')
        if not (since.isascii() and since.isdigit()):
            await operator_exchange.refuse(
                OperatorRefusal.malformed_request,
                'since must be a revision number',
            )
            return
        records = [
            record
            for record in self._node.state.history
            if record.revision > int(since)
        ]
        await operator_exchange.respond({'history': records})

    async def _show_explanation(
        self,
        operator_exchange: OperatorExchange,
        name: str,
    ) -> None:
        if name not in self._node.state.catalogue.entries:
            await operator_exchange.refuse(OperatorRefusal.unknown_entry, name)
            return
        decisions = self._explain(name)
        document = explanation_document(self._node, name, decisions)
        await operator_exchange.respond(document)


def _to_forget_command(command: DrainVm) -> ForgetVm:
    return ForgetVm(
        operator=command.operator,
        command_id=command.command_id,
        at_ms=command.at_ms,
        name=command.name,
        reason=command.reason,
    )


async def _refuse_command(
    operator_exchange: OperatorExchange,
    command: OperatorChange,
    command_result: CommandResult,
) -> None:
    reason = REFUSAL_BY_COMMAND_STATUS[command_result.status]
    is_vm_command = isinstance(command, (DrainVm, ForgetVm))
    if is_vm_command and reason is OperatorRefusal.unknown_entry:
        reason = OperatorRefusal.unknown_vm
    detail = command_result.detail
    if reason is OperatorRefusal.revision_conflict:
        detail = f'the entry is at revision {command_result.entry_revision}'
    await operator_exchange.refuse(
        reason,
        detail,
        revision=command_result.revision,
        entry_revision=command_result.entry_revision,
        index=command_result.index,
    )


def _entry_document(stored: StoredEntry) -> dict[str, Any]:
    document: dict[str, Any] = msgspec.to_builtins(stored.entry)
    document['revision'] = stored.revision
    return document


def _decode_entry(body: bytes, name: str) -> CatalogueEntry:
    """Decode an entry; ignore the `revision` that a read adds to it."""
    document = decode_json(body, dict[str, Any])
    document.pop('revision', None)
    document.setdefault('name', name)
    entry: CatalogueEntry = msgspec.convert(document, CatalogueEntry)
    if entry.name != name:
        raise msgspec.ValidationError(
            '`name` differs from the name in the path'
        )
    return entry
