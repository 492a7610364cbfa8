"""Assembles and runs one VM of the system from its settings."""

from persimmonhold.system._forwarding_vm import ForwardingVm
from persimmonhold.system._run import run_until_stopped
from persimmonhold.system._vm_process import VmProcess

__all__ = ('ForwardingVm', 'VmProcess', 'run_until_stopped')
