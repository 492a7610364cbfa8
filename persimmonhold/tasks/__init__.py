"""Background tasks of an owner, and work and waits that are limited in time."""

from persimmonhold.tasks._background_tasks import BackgroundTasks
from persimmonhold.tasks._keep_running import keep_running
from persimmonhold.tasks._run_with_time_limits import run_with_time_limits
from persimmonhold.tasks._wait_with_timeout import wait_with_timeout

__all__ = (
    'BackgroundTasks',
    'keep_running',
    'run_with_time_limits',
    'wait_with_timeout',
)
