"""Runs the work of a command with a new client of the control VMs."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import final

from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.cli._command_output import (
    CommandOutput,
    failure_output,
)
from persimmonhold.failures import Failure
from persimmonhold.operations import OperatorClient
from persimmonhold.web import Address, parse_address


@final
class OperatorClientRunner:
    """Creates a client of the control VMs for each command that it runs."""

    __slots__ = ('_operator_name', '_control_addresses')

    def __init__(self, control_addresses: str, operator_name: str) -> None:
        """Store the `ip:port` addresses, separated by commas, and the name."""
        self._control_addresses = control_addresses
        self._operator_name = operator_name

    def run_with_client(
        self,
        work: Callable[[OperatorClient], Awaitable[CommandOutput]],
    ) -> CommandOutput:
        """Run `work` with a new client in a new event loop.

        Returns a failure output if an address cannot be parsed.
        """
        addresses = self._parse_addresses()
        if isinstance(addresses, Failed):
            return failure_output(addresses.failure())
        client = OperatorClient(addresses.unwrap(), self._operator_name)
        return asyncio.run(_await_output(work(client)))

    def _parse_addresses(self) -> Result[tuple[Address, ...], Failure]:
        addresses: list[Address] = []
        for text in self._control_addresses.split(','):
            parsed = parse_address(text.strip())
            if isinstance(parsed, Failed):
                return parsed
            addresses.append(parsed.unwrap())
        return Success(tuple(addresses))


async def _await_output(work: Awaitable[CommandOutput]) -> CommandOutput:
    return await work
