"""The clock that goes on while the VM is suspended."""

import time


def boot_clock() -> float:
    """Return seconds that never go back and count suspensions.

    Leases and deadlines are judged by it: the monotonic clock stands still
    while the VM is suspended, and would show a lease that ended as valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
