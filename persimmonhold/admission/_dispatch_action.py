"""What the dispatcher asks of the entry."""

from typing import TypeAlias

from persimmonhold.admission._dispatch import Dispatch
from persimmonhold.admission._preempt import Preempt
from persimmonhold.admission._refuse import Refuse

DispatchAction: TypeAlias = Dispatch | Refuse | Preempt
