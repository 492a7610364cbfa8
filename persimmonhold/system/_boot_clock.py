"""A monotonic clock that advances while the VM is suspended."""

import time


def boot_clock() -> float:
    """Return monotonic seconds that include time spent suspended.

    Leases and deadlines use this clock, because `CLOCK_MONOTONIC` stops while
    the VM is suspended and would show an expired lease as valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
