"""The documents of `status`, `claims` and `explain` for operators."""

from typing import Any

import msgspec

from persimmonhold.catalogue import AdapterEntry, ModelEntry
from persimmonhold.control.machine import Claim, ControlState
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.messages import CopyState, VmRecord
from persimmonhold.placement import MemoryLedger


def status_document(node: ControlNode) -> dict[str, Any]:
    """Return the state of control, VMs, models, orders, memory and claims."""
    state = node.state
    return {
        'revision': state.catalogue.revision,
        'index': state.index,
        'control': control_document(node),
        'vms': [_vm_document(node, vm) for vm in state.vms.values()],
        'behind': list(_lagging_vms(node)),
        'models': _models_document(state),
        'orders': list(state.orders.values()),
        'copies': list(state.copies.values()),
        'memory': _memory_document(state),
        'claims_in_doubt': len(state.claims.scopes_in_doubt),
    }


def control_document(node: ControlNode) -> dict[str, Any]:
    """Return the state of this control replica."""
    return {
        'leader': node.log.leader,
        'leads': node.is_leader,
        'applied_index': node.log.applied_index,
        'vm': node.vm.record.name if node.vm else '',
        'replica': node.log.status(),
    }


def claims_document(state: ControlState) -> dict[str, Any]:
    """Return the claims in doubt, oldest first."""
    in_doubt = state.claims.scopes_in_doubt
    return {
        'claims': [
            _claim_document(state.claims.claims_by_scope[in_doubt[index]])
            for index in sorted(in_doubt)
        ],
    }


def explanation_document(
    node: ControlNode,
    name: str,
    decisions: object,
) -> dict[str, Any]:
    """Return the entry, copies, orders, history and decisions of one name."""
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


def _lagging_vms(node: ControlNode) -> tuple[str, ...]:
    if node.vm is None:
        return ()
    state = node.state
    return node.report_tracker.acknowledgements.lagging_vms(
        state.view.index, state.vms
    )


def _vm_document(node: ControlNode, vm: VmRecord) -> dict[str, Any]:
    document: dict[str, Any] = msgspec.to_builtins(vm)
    if node.vm is None:
        revision = node.state.catalogue.revision
        return {**document, 'live': True, 'revision': revision}
    latest_report = node.report_tracker.latest_reports.get(vm.name)
    is_live = vm.name in node.report_tracker.live_vms(node.vm.clock())
    if latest_report is None:
        return {**document, 'live': False, 'revision': 0}
    report = latest_report[1]
    return {
        **document,
        'live': is_live,
        'revision': report.revision,
        'index': report.index,
        'serving': report.serving,
    }


def _models_document(state: ControlState) -> list[dict[str, Any]]:
    serving_counts: dict[str, int] = {}
    copy_counts: dict[str, int] = {}
    for copy in state.copies.values():
        copy_counts[copy.target] = copy_counts.get(copy.target, 0) + 1
        if copy.state is CopyState.serving:
            serving_counts[copy.target] = serving_counts.get(copy.target, 0) + 1
    return [
        {
            'name': entry.name,
            'kind': 'model' if isinstance(entry, ModelEntry) else 'adapter',
            'wanted': entry.limits.min_copies,
            'serving': serving_counts.get(entry.name, 0),
            'copies': copy_counts.get(entry.name, 0),
        }
        for stored in state.catalogue.entries.values()
        if isinstance(entry := stored.entry, (ModelEntry, AdapterEntry))
    ]


def _memory_document(state: ControlState) -> list[dict[str, Any]]:
    copies = tuple(state.copies.values())
    orders = tuple(state.orders.values())
    copy_ledger = MemoryLedger.from_state(state.catalogue, copies, (), {})
    full_ledger = MemoryLedger.from_state(state.catalogue, copies, orders, {})
    return [
        {
            'upstream': place.upstream,
            'accelerator': place.accelerator,
            'capacity_bytes': capacity,
            'held_bytes': copy_ledger.reserved_bytes(place),
            'reserved_bytes': (
                full_ledger.reserved_bytes(place)
                - copy_ledger.reserved_bytes(place)
            ),
        }
        for place, capacity in full_ledger.capacity_bytes.items()
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
