"""One VM of the system, put together from its settings."""

from persimmonhold.system._vm_process import VmProcess

__all__ = ('VmProcess',)
