"""The HTTP interface of operators.

Any control VM takes a request; one that does not lead passes it on to the
leader. The leader answers reads behind a read barrier, so that an operator
reads what was accepted before.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, TypeAlias, final

import msgspec
from returns.result import Failure as Failed

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
from persimmonhold.web import COMMAND_ID, OPERATOR, Exchange, ExchangeHandler

REASON: Final = 'persimmonhold-reason'
_ROOT: Final = '/catalogue/v1/'
_OK: Final = 200
_Route: TypeAlias = Callable[[OperatorExchange, str], Awaitable[None]]
_Explain: TypeAlias = Callable[[str], object]


def _no_decisions(name: str) -> object:
    return []


@final
class OperatorHandler(ExchangeHandler):
    """Serves catalogue changes, status, history and drains."""

    def __init__(
        self,
        node: ControlNode,
        metrics: Metrics | None = None,
        explain: _Explain = _no_decisions,
    ) -> None:
        """Create a handler in front of a replica.

        `explain` returns the decisions of placement about a name.
        """
        self._node = node
        self._metrics = metrics or Metrics()
        self._explain = explain
        self._forwarder = LeaderForwarder(node)
        self._routes: dict[str, _Route] = {
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
        """Answer here, or have the leader answer."""
        operator = OperatorExchange(exchange, self._metrics)
        path = exchange.head.path
        if path == '/healthz':
            control = control_document(self._node)
            await operator.respond({'status': 'ok', 'control': control})
        elif path == '/metrics':
            body, kind = self._metrics.render(operator.header('accept'))
            await exchange.respond(_OK, body, kind)
        elif self._node.is_leader:
            await self._lead(operator, path)
        else:
            await self._forwarder.forward(operator)

    async def _lead(self, operator: OperatorExchange, path: str) -> None:
        kind, _, name = path.removeprefix(_ROOT).partition('/')
        route = self._routes.get(kind)
        if route is None or not path.startswith(_ROOT):
            await operator.refuse(OperatorRefusal.unknown_path, path)
            return
        if operator.method == 'GET':
            barrier = await self._node.read_barrier()
            if isinstance(barrier, Failed):
                detail = barrier.failure().describe()
                await operator.refuse(OperatorRefusal.no_quorum, detail)
                return
        await route(operator, name)

    async def _serve_entries(
        self,
        operator: OperatorExchange,
        name: str,
    ) -> None:
        if operator.method == 'GET':
            await self._read_entries(operator, name)
        elif name and operator.method == 'PUT':
            await self._put_entry(operator, name)
        elif name and operator.method == 'DELETE':
            await self._delete_entry(operator, name)
        else:
            await operator.refuse(
                OperatorRefusal.unknown_method,
                operator.method,
            )

    async def _read_entries(
        self,
        operator: OperatorExchange,
        name: str,
    ) -> None:
        catalogue = self._node.state.catalogue
        stored = catalogue.entries.get(name)
        if stored is not None:
            await operator.respond(_entry_document(stored))
            return
        if name:
            await operator.refuse(OperatorRefusal.unknown_entry, name)
            return
        entries = [
            _entry_document(catalogue.entries[listed])
            for listed in sorted(catalogue.entries)
        ]
        await operator.respond({
            'revision': catalogue.revision,
            'entries': entries,
        })

    async def _put_entry(self, operator: OperatorExchange, name: str) -> None:
        body = await operator.exchange.read_body()
        if isinstance(body, Failed):
            detail = body.failure().describe()
            await operator.refuse(OperatorRefusal.body_too_large, detail)
            return
        missing = operator.missing_header(needs_revision=True)
        if missing:
            await operator.refuse(OperatorRefusal.missing_header, missing)
            return
        try:
            entry = _decode_entry(body.unwrap(), name)
        except msgspec.DecodeError as error:
            await operator.refuse(OperatorRefusal.bad_entry, str(error))
            return
        command = PutEntry(
            operator=operator.header(OPERATOR),
            command_id=operator.header(COMMAND_ID),
            at_ms=self._node.now_ms(),
            expected_revision=operator.expected_revision() or 0,
            entry=entry,
            reason=operator.header(REASON),
        )
        await self._change(operator, command)

    async def _delete_entry(
        self,
        operator: OperatorExchange,
        name: str,
    ) -> None:
        missing = operator.missing_header(needs_revision=True)
        if missing:
            await operator.refuse(OperatorRefusal.missing_header, missing)
            return
        command = DeleteEntry(
            operator=operator.header(OPERATOR),
            command_id=operator.header(COMMAND_ID),
            at_ms=self._node.now_ms(),
            expected_revision=operator.expected_revision() or 0,
            name=name,
            reason=operator.header(REASON),
        )
        await self._change(operator, command)

    async def _change_vm(self, operator: OperatorExchange, name: str) -> None:
        if operator.method != 'POST':
            await operator.refuse(
                OperatorRefusal.unknown_method,
                operator.method,
            )
            return
        missing = operator.missing_header(needs_revision=False)
        if missing:
            await operator.refuse(OperatorRefusal.missing_header, missing)
            return
        action = operator.exchange.head.path.removeprefix(_ROOT)
        command = DrainVm(
            operator=operator.header(OPERATOR),
            command_id=operator.header(COMMAND_ID),
            at_ms=self._node.now_ms(),
            name=name,
            draining=action.startswith('drain/'),
            reason=operator.header(REASON),
        )
        if action.startswith('forget/'):
            await self._change(operator, _forget(command))
        else:
            await self._change(operator, command)

    async def _change(
        self,
        operator: OperatorExchange,
        command: OperatorChange,
    ) -> None:
        proposed = await self._node.commit_change(command)
        if isinstance(proposed, Failed):
            detail = proposed.failure().describe()
            await operator.refuse(OperatorRefusal.no_quorum, detail)
            return
        answer = proposed.unwrap()
        if answer.status is CommandStatus.done:
            operator.count(answer.status)
            await operator.respond(answer)
        else:
            await _refuse_command(operator, command, answer)

    async def _show_status(
        self,
        operator: OperatorExchange,
        name: str,
    ) -> None:
        await operator.respond(status_document(self._node))

    async def _show_claims(
        self,
        operator: OperatorExchange,
        name: str,
    ) -> None:
        await operator.respond(claims_document(self._node.state))

    async def _show_history(
        self,
        operator: OperatorExchange,
        name: str,
    ) -> None:
        since = operator.exchange.head.query.get('since', '0')
        if not (since.isascii() and since.isdigit()):
            await operator.refuse(
                OperatorRefusal.malformed_request,
                'since has to be a revision',
            )
            return
        records = [
            record
            for record in self._node.state.history
            if record.revision > int(since)
        ]
        await operator.respond({'history': records})

    async def _show_explanation(
        self,
        operator: OperatorExchange,
        name: str,
    ) -> None:
        if name not in self._node.state.catalogue.entries:
            await operator.refuse(OperatorRefusal.unknown_entry, name)
            return
        decisions = self._explain(name)
        document = explanation_document(self._node, name, decisions)
        await operator.respond(document)


def _forget(command: DrainVm) -> ForgetVm:
    return ForgetVm(
        operator=command.operator,
        command_id=command.command_id,
        at_ms=command.at_ms,
        name=command.name,
        reason=command.reason,
    )


async def _refuse_command(
    operator: OperatorExchange,
    command: OperatorChange,
    answer: CommandResult,
) -> None:
    reason = REFUSAL_BY_COMMAND_STATUS[answer.status]
    is_vm = isinstance(command, (DrainVm, ForgetVm))
    if is_vm and reason is OperatorRefusal.unknown_entry:
        reason = OperatorRefusal.unknown_vm
    detail = answer.detail
    if reason is OperatorRefusal.revision_conflict:
        detail = f'the entry is at revision {answer.entry_revision}'
    await operator.refuse(
        reason,
        detail,
        revision=answer.revision,
        entry_revision=answer.entry_revision,
        index=answer.index,
    )


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
