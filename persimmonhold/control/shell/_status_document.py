"""The document of `GET /catalogue/v1/status`, and of `explain`."""

from typing import Any

import msgspec

from persimmonhold.catalogue import AdapterEntry, ModelEntry
from persimmonhold.control.machine import Claim, ControlState
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.messages import CopyState, VmRecord
from persimmonhold.placement import MemoryLedger


def status_document(node: ControlNode) -> dict[str, Any]:
    """Return what is accepted, what is in force, and where models are."""
    state = node.state
    return {
        'revision': state.catalogue.revision,
        'index': state.index,
        'control': control_document(node),
        'vms': [_vm_document(node, vm) for vm in state.vms.values()],
        'behind': list(_behind(node)),
        'models': _models_document(state),
        'orders': list(state.orders.values()),
        'copies': list(state.copies.values()),
        'memory': _memory_document(state),
        'claims_in_doubt': len(state.claims.in_doubt),
    }


def control_document(node: ControlNode) -> dict[str, Any]:
    """Return the state of this control replica."""
    return {
        'leader': node.log.leader,
        'leads': node.leads,
        'applied_index': node.log.applied_index,
        'vm': node.vm.record.name if node.vm else '',
        'replica': node.log.status(),
    }


def claims_document(state: ControlState) -> dict[str, Any]:
    """Return the claims in doubt, the oldest first."""
    in_doubt = state.claims.in_doubt
    return {
        'claims': [
            _claim_document(state.claims.by_scope[in_doubt[index]])
            for index in sorted(in_doubt)
        ],
    }


def explanation_document(
    node: ControlNode,
    name: str,
    decisions: object,
) -> dict[str, Any]:
    """Return what is known of one model, adapter or service."""
    state = node.state
    stored = state.catalogue.entries[name]
    return {
        'name': name,
        'entry': stored.entry,
        'revision': stored.revision,
        'copies': [
            copy for copy in state.copies.values() if copy.target == name
        ],
        'orders': [
            order for order in state.orders.values() if order.target == name
        ],
        'changes': [record for record in state.history if record.name == name],
        'decisions': decisions,
    }


def _behind(node: ControlNode) -> tuple[str, ...]:
    if node.vm is None:
        return ()
    state = node.state
    return node.reports.acks.lagging_vms(state.view.index, state.vms)


def _vm_document(node: ControlNode, vm: VmRecord) -> dict[str, Any]:
    document: dict[str, Any] = msgspec.to_builtins(vm)
    if node.vm is None:
        revision = node.state.catalogue.revision
        return {**document, 'live': True, 'revision': revision}
    reported = node.reports.reports.get(vm.name)
    live = vm.name in node.reports.live(node.vm.clock())
    if reported is None:
        return {**document, 'live': False, 'revision': 0}
    report = reported[1]
    return {
        **document,
        'live': live,
        'revision': report.revision,
        'index': report.index,
        'serving': report.serving,
    }


def _models_document(state: ControlState) -> list[dict[str, Any]]:
    serving: dict[str, int] = {}
    held: dict[str, int] = {}
    for copy in state.copies.values():
        held[copy.target] = held.get(copy.target, 0) + 1
        if copy.state is CopyState.serving:
            serving[copy.target] = serving.get(copy.target, 0) + 1
    return [
        {
            'name': entry.name,
            'kind': 'model' if isinstance(entry, ModelEntry) else 'adapter',
            'wanted': entry.limits.min_copies,
            'serving': serving.get(entry.name, 0),
            'copies': held.get(entry.name, 0),
        }
        for stored in state.catalogue.entries.values()
        if isinstance(entry := stored.entry, (ModelEntry, AdapterEntry))
    ]


def _memory_document(state: ControlState) -> list[dict[str, Any]]:
    copies = tuple(state.copies.values())
    orders = tuple(state.orders.values())
    held = MemoryLedger.from_state(state.catalogue, copies, (), {})
    whole = MemoryLedger.from_state(state.catalogue, copies, orders, {})
    return [
        {
            'upstream': place.upstream,
            'accelerator': place.accelerator,
            'capacity_bytes': capacity,
            'held_bytes': held.reserved_bytes(place),
            'reserved_bytes': (
                whole.reserved_bytes(place) - held.reserved_bytes(place)
            ),
        }
        for place, capacity in whole.capacity_bytes.items()
    ]


def _claim_document(claim: Claim) -> dict[str, Any]:
    return {
        'claim': claim.index,
        'at_ms': claim.at_ms,
        'caller': claim.caller,
        'service': claim.service,
        'key': claim.key,
        'request_id': claim.request_id,
        'vm': claim.vm,
    }
