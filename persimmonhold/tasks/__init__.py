"""Background tasks of an owner, and waiting with a time-out."""

from persimmonhold.tasks._background_tasks import BackgroundTasks
from persimmonhold.tasks._wait_with_timeout import wait_with_timeout

__all__ = ('BackgroundTasks', 'wait_with_timeout')
