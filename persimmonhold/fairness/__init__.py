"""Start-time fair queuing, for queues that several parties share."""

from persimmonhold.fairness._fair_clock import FairClock

__all__ = ('FairClock',)
