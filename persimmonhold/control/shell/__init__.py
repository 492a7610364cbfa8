"""The process around the replicated state machine."""

from persimmonhold.control.shell._control_link import ControlLink
from persimmonhold.control.shell._control_node import ControlNode
from persimmonhold.control.shell._local_control_link import LocalControlLink
from persimmonhold.control.shell._operator_handler import OperatorHandler
from persimmonhold.control.shell._placement_host import PlacementHost
from persimmonhold.control.shell._placement_runner import PlacementRunner

__all__ = (
    'ControlLink',
    'ControlNode',
    'LocalControlLink',
    'OperatorHandler',
    'PlacementHost',
    'PlacementRunner',
)
