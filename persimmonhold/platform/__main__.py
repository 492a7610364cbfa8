"""`python -m persimmonhold.platform` runs one VM on the platform."""

import sys

from persimmonhold.platform import run_on_platform

# An empty text would be printed, with status 1.
sys.exit(run_on_platform() or None)
