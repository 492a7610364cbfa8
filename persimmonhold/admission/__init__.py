"""Admission control of an entry: queues, limits, deadlines and refusals."""

from persimmonhold.admission._admission_request import AdmissionRequest
from persimmonhold.admission._dispatch import Dispatch
from persimmonhold.admission._dispatch_action import DispatchAction
from persimmonhold.admission._dispatcher import Dispatcher
from persimmonhold.admission._dispatcher_settings import DispatcherSettings
from persimmonhold.admission._preempt import Preempt
from persimmonhold.admission._refuse import Refuse
from persimmonhold.admission._retry_reason import RetryReason

__all__ = (
    'Dispatch',
    'DispatchAction',
    'Dispatcher',
    'DispatcherSettings',
    'Preempt',
    'Refuse',
    'RetryReason',
    'AdmissionRequest',
)
