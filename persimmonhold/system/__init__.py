"""Assembles and runs one VM of the system from its settings."""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
    from persimmonhold.system._control_role import ControlRole
    from persimmonhold.system._fleet_work import FleetWork
    from persimmonhold.system._forwarding_vm import ForwardingVm
    from persimmonhold.system._run import run_process, run_until_stopped
    from persimmonhold.system._vm_process import VmProcess

__all__ = (
    'ControlRole',
    'FleetWork',
    'ForwardingVm',
    'VmProcess',
    'run_process',
    'run_until_stopped',
)

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'ControlRole': '_control_role',
            'FleetWork': '_fleet_work',
            'ForwardingVm': '_forwarding_vm',
            'VmProcess': '_vm_process',
            'run_process': '_run',
            'run_until_stopped': '_run',
        },
    )
