"""Adapter to the platform that runs the VMs and upstreams.

It converts header names, document formats and calls between the platform and
this system; the decisions are made elsewhere.

The package is inside the product, since a top-level package of this name
would hide a module of the standard library.
"""

from typing import TYPE_CHECKING

from persimmonhold._lazy_exports import LazyExports

if TYPE_CHECKING:
    from persimmonhold.platform._configuration_handler import (
        ConfigurationHandler,
    )
    from persimmonhold.platform._run import run_on_platform

__all__ = ('ConfigurationHandler', 'run_on_platform')

if not TYPE_CHECKING:
    __getattr__ = LazyExports(
        __name__,
        {
            'ConfigurationHandler': '_configuration_handler',
            'run_on_platform': '_run',
        },
    )
