"""IP addresses with ports."""

import ipaddress
from typing import Final, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind

_MAX_PORT: Final = 65535


@final
class Address(msgspec.Struct, frozen=True):
    """An IP address and a TCP port; names are not resolved."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the `ip:port` form."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'

    @property
    def is_loopback(self) -> bool:
        """Whether the address can be reached from this VM only."""
        return ipaddress.ip_address(self.host).is_loopback


def parse_address(text: str) -> Result[Address, Failure]:
    """Parse `ip:port`; port 0 makes the operating system choose a free one."""
    host, _, port = text.rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return Failed(_address_failure(text))
    if not port.isdecimal() or int(port) > _MAX_PORT:
        return Failed(_address_failure(text))
    return Success(Address(host, int(port)))


def _address_failure(text: str) -> Failure:
    return Failure(
        kind=FailureKind.bad_settings,
        step='parse address',
        detail=f'expected ip:port, found {text!r}',
    )
