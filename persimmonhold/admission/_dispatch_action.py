"""The actions that the dispatcher returns for the entry to perform."""

from typing import TypeAlias

from persimmonhold.admission._dispatch import Dispatch
from persimmonhold.admission._preempt import Preempt
from persimmonhold.admission._refuse import Refuse

DispatchAction: TypeAlias = Dispatch | Refuse | Preempt
