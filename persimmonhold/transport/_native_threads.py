"""Limits the number of native threads of pynng.

The library starts a thread pool for each kind of work before it opens its
first socket, sized by the number of processors. A process with one event
loop needs only one or two threads of each kind.
"""

from typing import Final

from pynng import lib

_TASK_THREADS: Final = 2
_THREADS_PER_OTHER_POOL: Final = 1


def limit_native_threads() -> None:
    """Set the thread pool sizes; has no effect after the first socket."""
    parameters = {
        lib.NNG_INIT_NUM_TASK_THREADS: _TASK_THREADS,
        lib.NNG_INIT_MAX_TASK_THREADS: _TASK_THREADS,
        lib.NNG_INIT_NUM_EXPIRE_THREADS: _THREADS_PER_OTHER_POOL,
        lib.NNG_INIT_MAX_EXPIRE_THREADS: _THREADS_PER_OTHER_POOL,
        lib.NNG_INIT_NUM_POLLER_THREADS: _THREADS_PER_OTHER_POOL,
        lib.NNG_INIT_MAX_POLLER_THREADS: _THREADS_PER_OTHER_POOL,
        lib.NNG_INIT_NUM_RESOLVER_THREADS: _THREADS_PER_OTHER_POOL,
    }
    for parameter, threads in parameters.items():
        lib.nng_init_set_parameter(parameter, threads)
