"""The platform's names, formats and calls; nothing here decides.

The package is inside the product since a top-level one of this name would
hide a module of the standard library.
"""

from persimmonhold.platform._run import run_on_platform

__all__ = ('run_on_platform',)
