"""Builds the record with which a VM registers itself."""

from persimmonhold.messages import VmRecord
from persimmonhold.settings import Settings


def create_vm_record(settings: Settings) -> VmRecord:
    """Return the record with which the VM of `settings` registers itself.

    The address of a role that the VM does not have is empty.
    """
    return VmRecord(
        name=settings.vm.name,
        failure_domain=settings.vm.failure_domain,
        callers=settings.callers.address if settings.vm.has_entry else '',
        operators=(
            settings.operators.address if settings.vm.has_control else ''
        ),
        peers=settings.peers.address,
        weight=settings.callers.weight,
    )
