"""Simulated engines, services and VM list for tests and the dev command."""

from persimmonhold.standin._engine_handler import EngineHandler
from persimmonhold.standin._engine_memory import EngineMemory
from persimmonhold.standin._execution import Execution
from persimmonhold.standin._faults import Faults
from persimmonhold.standin._generation import Generation, extract_prompt
from persimmonhold.standin._service_handler import ServiceHandler
from persimmonhold.standin._standin import Standin
from persimmonhold.standin._vm_list_handler import PlatformVm, VmListHandler

__all__ = (
    'EngineHandler',
    'EngineMemory',
    'Execution',
    'Faults',
    'Generation',
    'PlatformVm',
    'ServiceHandler',
    'Standin',
    'VmListHandler',
    'extract_prompt',
)
