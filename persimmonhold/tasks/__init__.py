"""Tasks that run as long as their owner, and waits with a bound."""

from persimmonhold.tasks._background_tasks import BackgroundTasks
from persimmonhold.tasks._wait_with_timeout import wait_with_timeout

__all__ = ('BackgroundTasks', 'wait_with_timeout')
