"""Keeps the native threads of pynng few.

The library starts a pool for each kind of work, sized by the number of
processors, before its first socket; a VM with one loop needs one or two of
each kind.
"""

from typing import Final

from pynng import lib

_TASK_THREADS: Final = 2
_OTHER_THREADS: Final = 1


def limit_native_threads() -> None:
    """Set the sizes of the pools; has no effect after the first socket."""
    parameters = {
        lib.NNG_INIT_NUM_TASK_THREADS: _TASK_THREADS,
        lib.NNG_INIT_MAX_TASK_THREADS: _TASK_THREADS,
        lib.NNG_INIT_NUM_EXPIRE_THREADS: _OTHER_THREADS,
        lib.NNG_INIT_MAX_EXPIRE_THREADS: _OTHER_THREADS,
        lib.NNG_INIT_NUM_POLLER_THREADS: _OTHER_THREADS,
        lib.NNG_INIT_MAX_POLLER_THREADS: _OTHER_THREADS,
        lib.NNG_INIT_NUM_RESOLVER_THREADS: _OTHER_THREADS,
    }
    for parameter, threads in parameters.items():
        lib.nng_init_set_parameter(parameter, threads)
