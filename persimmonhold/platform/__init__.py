"""Adapter to the platform that runs the VMs and upstreams.

It converts header names, document formats and calls between the platform and
this system; the decisions are made elsewhere.

The package is inside the product, since a top-level package of this name
would hide a module of the standard library.
"""

from persimmonhold.platform._run import run_on_platform

__all__ = ('run_on_platform',)
