"""The code around the replicated state machine that performs I/O.

Runs control replicas, their HTTP interface, placement, and the control client
of each VM.
"""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
    from persimmonhold.control.shell._control_applier import ControlApplier
    from persimmonhold.control.shell._control_client import ControlClient
    from persimmonhold.control.shell._control_link import ControlLink
    from persimmonhold.control.shell._control_metrics import ControlMetrics
    from persimmonhold.control.shell._control_node import ControlNode
    from persimmonhold.control.shell._leader_duties import LeaderDuties
    from persimmonhold.control.shell._local_control_link import LocalControlLink
    from persimmonhold.control.shell._operator_handler import OperatorHandler
    from persimmonhold.control.shell._operator_refusal import (
        REFUSAL_HTTP_STATUS,
        OperatorRefusal,
    )
    from persimmonhold.control.shell._placement_host import PlacementHost
    from persimmonhold.control.shell._placement_runner import PlacementRunner
    from persimmonhold.control.shell._proposal_server import ProposalServer
    from persimmonhold.control.shell._remote_control_link import (
        RemoteControlLink,
    )
    from persimmonhold.control.shell._single_replica_log import SingleReplicaLog
    from persimmonhold.control.shell._vm_agent_runner import VmAgentRunner
    from persimmonhold.control.shell._vm_liveness import VmLiveness
    from persimmonhold.control.shell._vm_report_tracker import VmReportTracker

__all__ = (
    'REFUSAL_HTTP_STATUS',
    'ControlApplier',
    'ControlClient',
    'ControlLink',
    'ControlMetrics',
    'ControlNode',
    'LeaderDuties',
    'LocalControlLink',
    'OperatorHandler',
    'OperatorRefusal',
    'PlacementHost',
    'PlacementRunner',
    'ProposalServer',
    'RemoteControlLink',
    'SingleReplicaLog',
    'VmAgentRunner',
    'VmLiveness',
    'VmReportTracker',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'ControlApplier': '_control_applier',
            'ControlClient': '_control_client',
            'ControlLink': '_control_link',
            'ControlMetrics': '_control_metrics',
            'ControlNode': '_control_node',
            'LeaderDuties': '_leader_duties',
            'LocalControlLink': '_local_control_link',
            'OperatorHandler': '_operator_handler',
            'OperatorRefusal': '_operator_refusal',
            'PlacementHost': '_placement_host',
            'PlacementRunner': '_placement_runner',
            'ProposalServer': '_proposal_server',
            'REFUSAL_HTTP_STATUS': '_operator_refusal',
            'RemoteControlLink': '_remote_control_link',
            'SingleReplicaLog': '_single_replica_log',
            'VmAgentRunner': '_vm_agent_runner',
            'VmLiveness': '_vm_liveness',
            'VmReportTracker': '_vm_report_tracker',
        },
    )
