"""Writes the files of a deployment."""

import configparser
import io
from pathlib import Path
from typing import Final, final

import msgspec

from persimmonhold.catalogue import UpstreamEntry
from persimmonhold.deployment._catalogue_text import format_catalogue
from persimmonhold.deployment._deployment_document import (
    DeploymentDocument,
    UpstreamDocument,
    VmDocument,
)
from persimmonhold.deployment._deployment_plan import (
    DeploymentPlan,
    PlannedVm,
)

_IniSections = dict[str, dict[str, str]]
_JSON_INDENT: Final = 2


@final
class DeploymentWriter:
    """Writes settings files, `catalogue.ini` and `deployment.json`."""

    __slots__ = ('_directory', '_plan')

    def __init__(self, plan: DeploymentPlan, directory: Path) -> None:
        """Create a writer; `write_files` creates the folder if necessary."""
        self._plan = plan
        self._directory = directory

    def write_files(self) -> DeploymentDocument:
        """Write all files and return the contents of `deployment.json`.

        Raises `OSError` if a file cannot be written.
        """
        self._directory.mkdir(parents=True, exist_ok=True)
        document = DeploymentDocument(
            deployment=self._plan.shape.name,
            vms=tuple(self._write_vm(vm) for vm in self._plan.vms),
            upstreams=tuple(
                self._write_upstream(number, upstream)
                for number, upstream in enumerate(self._plan.build_upstreams())
            ),
        )
        catalogue = format_catalogue(self._plan.build_catalogue())
        self._file_path('catalogue.ini').write_text(catalogue, encoding='utf-8')
        encoded = msgspec.json.format(
            msgspec.json.encode(document),
            indent=_JSON_INDENT,
        )
        self._file_path('deployment.json').write_bytes(encoded)
        return document

    def _file_path(self, name: str) -> Path:
        return self._directory / name

    def _write_vm(self, vm: PlannedVm) -> VmDocument:
        path = self._file_path(f'{vm.name}.ini')
        path.write_text(_format_ini(self._vm_sections(vm)), encoding='utf-8')
        return VmDocument(
            name=vm.name,
            settings=str(path),
            callers=vm.callers,
            operators=vm.operators if vm.has_control else None,
            failure_domain=vm.failure_domain,
        )

    def _vm_sections(self, vm: PlannedVm) -> _IniSections:
        shape = self._plan.shape
        control = ', '.join(
            f'{other.name}@{other.peers}'
            for other in self._plan.vms
            if other.has_control
        )
        return {
            'vm': {
                'name': vm.name,
                'failure_domain': vm.failure_domain,
                'roles': 'entry,control' if vm.has_control else 'entry',
                'data_directory': str(self._file_path(f'data-{vm.name}')),
            },
            'callers': {'address': vm.callers},
            'operators': {'address': vm.operators if vm.has_control else ''},
            'peers': {'address': vm.peers, 'control': control},
            'placement': {
                'move_cost': str(shape.move_cost),
                'attainment_weight': str(shape.attainment_weight),
                'loads_per_second': str(shape.loads_per_second),
                'loads_at_once': str(shape.loads_at_once),
                'adapters_in_flight': str(shape.adapters_in_flight),
            },
            'logs': {'path': str(self._file_path(f'{vm.name}.log'))},
        }

    def _write_upstream(
        self,
        number: int,
        upstream: UpstreamEntry,
    ) -> UpstreamDocument:
        path = self._file_path(f'upstream{number + 1}.ini')
        sections = self._upstream_sections(upstream)
        path.write_text(_format_ini(sections), encoding='utf-8')
        return UpstreamDocument(
            name=upstream.name,
            kind='engine' if upstream.is_engine else 'service',
            settings=str(path),
            address=upstream.address,
        )

    def _upstream_sections(self, upstream: UpstreamEntry) -> _IniSections:
        section = {'name': upstream.name, 'address': upstream.address}
        if upstream.is_engine:
            section['kind'] = 'engine'
            section['accelerators'] = str(len(upstream.accelerators))
            section['memory_bytes'] = str(self._plan.shape.memory_bytes)
            load_ms = self._plan.shape.adapter_load_ms
            section['adapter_load_ms'] = str(load_ms)
        else:
            section['kind'] = 'service'
            section['name'] = upstream.service
        return {'standin': section}


def _format_ini(sections: _IniSections) -> str:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue()
