"""Checks the single-file binary by one request to its `dev` command.

Run as `python -m bench.check_binary dist/persimmonhold`. Exits 0 if the
binary streamed a complete response, started no child process and exited 0
on SIGTERM.
"""

import argparse
import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import Final

import msgspec

from persimmonhold.web import (
    Address,
    ClientRequest,
    fetch,
    parse_address,
)

_START_TIMEOUT_S: Final = 60.0
_REQUEST_TIMEOUT_S: Final = 30.0
_POLL_S: Final = 0.2


async def find_problem(binary: Path) -> str:
    """Return the first fault of the binary, or an empty string."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(binary),
        'dev',
        '--port=0',
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, 'PYTHONPATH': '', 'PYTHONNOUSERSITE': '1'},
    )
    assert process.stdout is not None
    try:
        async with asyncio.timeout(_START_TIMEOUT_S):
            startup_line = (await process.stdout.readline()).decode()
        problem = await _check_completion(
            parse_address(_extract_address(startup_line)).unwrap()
        )
        problem = problem or _check_child_processes(process.pid)
    finally:
        process.send_signal(signal.SIGTERM)
        code = await process.wait()
    if code and not problem:
        return f'the binary exited with code {code} on SIGTERM'
    return problem


def _extract_address(startup_line: str) -> str:
    return startup_line.rpartition('http://')[2].strip()


async def _check_completion(callers: Address) -> str:
    body = msgspec.json.encode({
        'model': 'tutor',
        'stream': True,
        'max_tokens': 3,
    })
    request = ClientRequest(
        method='POST',
        target='/v1/chat/completions',
        body=body,
    )
    last_body = ''
    for _ in range(int(_REQUEST_TIMEOUT_S / _POLL_S)):
        response = (await fetch(callers, request, _REQUEST_TIMEOUT_S)).unwrap()
        last_body = response.body.decode()
        if last_body.endswith('data: [DONE]\n\n'):
            return ''
        await asyncio.sleep(_POLL_S)
    return f'no complete response; last body: {last_body}'


def _check_child_processes(process_id: int) -> str:
    path = Path(f'/proc/{process_id}/task/{process_id}/children')
    children = path.read_text(encoding='ascii').split()
    return f'the binary started child processes: {children}' if children else ''


def main() -> None:
    """Check the binary that the argument names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('binary', type=Path)
    problem = asyncio.run(find_problem(parser.parse_args().binary))
    sys.stdout.write(f'{problem or "the binary passed all checks"}\n')
    sys.exit(1 if problem else 0)


if __name__ == '__main__':
    main()
