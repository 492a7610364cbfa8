"""`python -m persimmonhold.platform` runs one VM on the platform."""

import signal
import sys

# The platform may state changed settings at any moment of a start. Until the
# event loop handles the signal, its default would end the process, so it is
# ignored before the imports, which take most of a start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from persimmonhold.platform import run_on_platform

# An empty text would be printed, with status 1.
sys.exit(run_on_platform() or None)
