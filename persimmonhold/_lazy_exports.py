"""Package exports that are imported at their first use.

A process imports only what its roles run: the start of a process is mostly the
time that its imports take.
"""

import importlib
import sys
from collections.abc import Mapping
from typing import final


@final
class LazyExports:
    """The `__getattr__` of a package.

    `modules` maps each exported name to the module of the package that defines
    it.
    """

    __slots__ = ('modules', 'package')

    def __init__(self, package: str, modules: Mapping[str, str]) -> None:
        """Create the exports of a package."""
        self.package = package
        self.modules = modules

    def __call__(self, name: str) -> object:
        """Import and return an export; later look-ups do not come here.

        Raises `AttributeError` for a name that is not exported.
        """
        if name not in self.modules:
            raise AttributeError(f'{self.package} has no attribute {name}')
        module = importlib.import_module(f'{self.package}.{self.modules[name]}')
        found: object = getattr(module, name)
        setattr(sys.modules[self.package], name, found)
        return found
