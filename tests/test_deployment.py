"""Tests of the files of loopback deployments and of catalogue files."""

from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from persimmonhold.catalogue import (
    Accelerator,
    CallRule,
    ServiceEntry,
    UpstreamEntry,
)
from persimmonhold.deployment import (
    SHAPES,
    DeploymentDocument,
    DeploymentPlan,
    DeploymentShape,
    DeploymentWriter,
    format_catalogue,
    parse_catalogue,
)
from persimmonhold.settings import Settings, StandinSettings, read_ini

_NAMES = st.from_regex(r'[a-z][a-z0-9-]{0,20}', fullmatch=True)


@pytest.mark.parametrize('shape', SHAPES, ids=lambda shape: shape.name)
def test_every_written_file_is_read_back(
    shape: DeploymentShape,
    tmp_path: Path,
) -> None:
    plan = DeploymentPlan(shape, vm_count=9, port=21000)
    document = DeploymentWriter(plan, tmp_path).write_files()
    for vm in document.vms:
        settings = read_ini(Path(vm.settings), Settings).unwrap()
        assert_that(settings.callers.address, Equals(vm.callers))
        assert_that(settings.vm.failure_domain, Equals(vm.failure_domain))
    for upstream in document.upstreams:
        standin = read_ini(Path(upstream.settings), StandinSettings).unwrap()
        assert_that(standin.standin.address, Equals(upstream.address))
    stored = msgspec.json.decode(
        (tmp_path / 'deployment.json').read_bytes(),
        type=DeploymentDocument,
    )
    assert_that(stored, Equals(document))


@pytest.mark.parametrize('shape', SHAPES, ids=lambda shape: shape.name)
def test_five_of_nine_vms_have_control(shape: DeploymentShape) -> None:
    plan = DeploymentPlan(shape, vm_count=9, port=21000)
    control = [vm for vm in plan.vms if vm.has_control]
    assert_that(control, HasLength(5))
    assert_that(
        {vm.failure_domain for vm in control},
        Equals(set(shape.failure_domains)),
    )


@pytest.mark.parametrize(
    ('vms', 'control'),
    [(1, 1), (2, 1), (3, 3), (4, 3), (5, 5), (7, 5)],
)
def test_control_group_is_odd(vms: int, control: int) -> None:
    plan = DeploymentPlan(SHAPES[0], vm_count=vms, port=21000)
    control_count = sum(vm.has_control for vm in plan.vms)
    assert_that(control_count, Equals(control))


@pytest.mark.parametrize('shape', SHAPES, ids=lambda shape: shape.name)
def test_catalogue_file_holds_every_entry(shape: DeploymentShape) -> None:
    entries = DeploymentPlan(shape, vm_count=9, port=21000).build_catalogue()
    text = format_catalogue(entries)
    assert_that(parse_catalogue(text, 'f'), Equals(Success(entries)))
    expected_count = shape.model_count + shape.adapter_count + 2
    expected_count += shape.engine_count + shape.service_replica_count
    assert_that(entries, HasLength(expected_count))


@given(
    name=_NAMES,
    method=st.sampled_from(['*', 'GET', 'POST']),
    prefix=st.text(alphabet='abc/%=;#', max_size=12),
    idempotent=st.booleans(),
    memory=st.integers(min_value=1, max_value=1 << 60),
)
def test_any_entry_survives_the_file(
    name: str,
    method: str,
    prefix: str,
    idempotent: bool,
    memory: int,
) -> None:
    rule = CallRule(method=method, path_prefix=prefix, idempotent=idempotent)
    entries = (
        ServiceEntry(name=f's-{name}', owner='o', rules=(rule,)),
        UpstreamEntry(
            name=f'u-{name}',
            owner='o',
            address='127.0.0.1:1',
            failure_domain='d',
            accelerators=(Accelerator(name='a0', memory_bytes=memory),),
            checks_fencing=idempotent,
        ),
    )
    text = format_catalogue(entries)
    assert_that(parse_catalogue(text, 'f'), Equals(Success(entries)))


def test_all_errors_of_a_file_are_shown() -> None:
    text = '[model a]\nowner = x\n[robot b]\nowner = y\n[service s]\nq = 1\n'
    failures = parse_catalogue(text, 'c.ini').failure()
    assert_that(failures, HasLength(3))
    for failure, section in zip(failures, ('a]', 'b]', 's]'), strict=True):
        assert_that(failure.describe(), Contains(section))
