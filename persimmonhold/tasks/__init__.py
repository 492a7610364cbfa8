"""Tasks that run as long as their owner, and waits with a bound."""

from persimmonhold.tasks._background import Background
from persimmonhold.tasks._wait_at_most import wait_at_most

__all__ = ('Background', 'wait_at_most')
