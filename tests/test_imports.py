"""What a process imports: the start of a process is mostly its imports."""

import asyncio
import sys
from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan, Not

from persimmonhold import system
from persimmonhold._lazy_exports import LazyExports

# Parts that only control VMs run.
_CONTROL_PARTS: Final = (
    'persimmonhold.consensus',
    'persimmonhold.control.shell._control_node',
    'persimmonhold.control.shell._operator_handler',
    'persimmonhold.forwarding._fleet_runner',
    'persimmonhold.placement',
    'persimmonhold.platform._configuration_handler',
    'persimmonhold.replication',
    'persimmonhold.storage',
    'persimmonhold.system._control_role',
)
# 757 modules on 6ea0505, of which 466 were the product's.
_MAX_MODULES: Final = 560
_ENTRY_IMPORTS: Final = """
import sys
from persimmonhold.forwarding import ForwardEntry
from persimmonhold.platform._run import run_on_platform
from persimmonhold.system import ForwardingVm
print(*sys.modules)
"""


def _list_imported(source: str) -> list[str]:
    """Return the modules that a new interpreter has after a script."""

    async def run() -> bytes:
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-c', source, stdout=asyncio.subprocess.PIPE
        )
        written, _ = await process.communicate()
        assert_that(process.returncode, Equals(0))
        return written

    return asyncio.run(run()).decode('ascii').split()


def test_entry_imports_nothing_of_control() -> None:
    imported = _list_imported(_ENTRY_IMPORTS)
    needless = [name for name in imported if name.startswith(_CONTROL_PARTS)]
    assert_that(needless, Equals([]))
    assert_that(len(imported), LessThan(_MAX_MODULES))


def test_export_is_imported_once_and_kept() -> None:
    system.__dict__.pop('run_until_stopped', None)
    first = system.run_until_stopped
    assert_that(system.__dict__, Contains('run_until_stopped'))
    assert_that(system.run_until_stopped is first, Equals(True))


def test_name_that_is_not_exported_is_an_attribute_error() -> None:
    exports = LazyExports('persimmonhold.system', {})
    with pytest.raises(AttributeError, match='no attribute nothing'):
        exports('nothing')


@pytest.mark.parametrize(
    'package',
    [
        'attempts',
        'control.machine',
        'control.shell',
        'forwarding',
        'messages',
        'platform',
        'replication',
        'routes',
        'settings',
        'system',
        'upstreams',
    ],
)
def test_all_exports_of_a_package_can_be_imported(package: str) -> None:
    source = (
        f'import persimmonhold.{package} as package\n'
        'for name in package.__all__:\n'
        '    print(name, getattr(package, name) is None)\n'
    )
    assert_that(_list_imported(source), Not(Contains('True')))


def test_program_ignores_sighup_before_it_imports_the_product() -> None:
    """On 6ea0505 a SIGHUP within 0.25 s of a start ended the process."""
    source = (
        'import runpy, signal, sys, types\n'
        'import persimmonhold.platform as package\n'
        'def run():\n'
        '    print(signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)\n'
        '    print(len([name for name in sys.modules if "h11" in name]))\n'
        'package.run_on_platform = run\n'
        'try:\n'
        '    runpy.run_module("persimmonhold.platform", run_name="__main__")\n'
        'except SystemExit:\n'
        '    pass\n'
    )
    assert_that(_list_imported(source), Equals(['True', '0']))
