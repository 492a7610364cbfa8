"""Tests of the command line: exit codes, one-line errors, JSON output."""

import socket
from pathlib import Path
from typing import Any

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from persimmonhold.cli import ExitCode, run_command

# Port 9 is reserved for the discard service; nothing listens there.
_CLOSED_ADDRESS = '127.0.0.1:9'


@pytest.mark.parametrize(
    ('arguments', 'exit_code', 'message'),
    [
        (['check', '--settings', '/none.ini'], ExitCode.bad_settings, 'none'),
        (['status', '--operators', 'x'], ExitCode.bad_settings, 'ip:port'),
        (
            ['status', '--operators', _CLOSED_ADDRESS],
            ExitCode.unreachable,
            _CLOSED_ADDRESS,
        ),
        (['catalogue', 'apply', '/none'], ExitCode.bad_settings, '/none'),
        (['init', 'mars', '/tmp/x'], ExitCode.bad_settings, 'hoogwerk'),
        (['standin', '/none.ini'], ExitCode.bad_settings, '/none.ini'),
        (['nonsense'], ExitCode.usage, 'nonsense'),
    ],
)
def test_errors_are_one_line_and_have_a_code(
    arguments: list[str],
    exit_code: ExitCode,
    message: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert_that(run_command(arguments), Equals(exit_code))
    printed = capsys.readouterr()
    assert_that(printed.err, Contains(message))
    assert_that('Traceback' in printed.err, Equals(False))
    assert_that(printed.out, Equals(''))


def test_init_prints_a_document_on_request(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    arguments = ['init', 'levy', str(tmp_path / 'd'), '--vms=7', '--json']
    assert_that(run_command(arguments), Equals(ExitCode.ok))
    document: dict[str, Any] = msgspec.json.decode(capsys.readouterr().out)
    assert_that(document['vms'], HasLength(7))


def test_folder_that_cannot_be_written(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    existing_file = tmp_path / 'file'
    existing_file.write_text('')
    code = run_command(['init', 'levy', str(existing_file / 'd')])
    assert_that(code, Equals(ExitCode.unavailable_resource))
    assert_that(capsys.readouterr().err, Contains(str(existing_file)))


def test_check_prints_effective_settings(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'vm.ini'
    path.write_text('[vm]\nname = vm1\nfailure_domain = a\n')
    assert_that(run_command(['check', str(path)]), Equals(ExitCode.ok))
    printed = capsys.readouterr().out
    assert_that(printed, Contains('election_timeout_ms = 500'))


def _write_vm_settings(folder: Path, operators: str) -> str:
    path = folder / 'vm.ini'
    path.write_text(
        '[vm]\nname = vm1\nfailure_domain = a\nroles = control\n'
        f'data_directory = {folder / "data"}\n'
        f'[operators]\naddress = {operators}\n'
        '[peers]\naddress = 127.0.0.1:0\ncontrol = vm1@127.0.0.1:1\n',
    )
    return str(path)


def test_serve_names_the_damaged_file(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    (tmp_path / 'data').mkdir()
    (tmp_path / 'data' / 'state').write_bytes(b'damaged')
    settings = _write_vm_settings(tmp_path, '127.0.0.1:0')
    assert_that(
        run_command(['serve', settings]), Equals(ExitCode.damaged_state)
    )
    printed = capsys.readouterr().err
    assert_that(printed, Contains(str(tmp_path / 'data' / 'state')))
    assert_that('Traceback' in printed, Equals(False))


def test_serve_names_the_address_in_use(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        code = run_command(['serve', _write_vm_settings(tmp_path, address)])
    assert_that(code, Equals(ExitCode.unavailable_resource))
    assert_that(capsys.readouterr().err, Contains(address.partition(':')[2]))


def test_serve_needs_the_keys_of_its_roles(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / 'vm.ini'
    path.write_text('[vm]\nname = vm1\nfailure_domain = a\n')
    assert_that(
        run_command(['serve', str(path)]), Equals(ExitCode.bad_settings)
    )
    printed = capsys.readouterr().err
    for key in ('[callers] address', '[peers] address', '[peers] control'):
        assert_that(printed, Contains(key))
