"""`python -m persimmonhold.platform` runs one VM on the platform."""

import sys

from persimmonhold.platform import run_on_platform

sys.exit(run_on_platform())
