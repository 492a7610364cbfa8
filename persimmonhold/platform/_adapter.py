"""The adapter to a platform with HTTP interfaces."""

from typing import TYPE_CHECKING, final

from persimmonhold import platform
from persimmonhold.forwarding import (
    EntryStatus,
    PlatformAdapter,
    ServedAddress,
)
from persimmonhold.platform._dialect import PlatformDialect
from persimmonhold.platform._entry_handlers import (
    DirectoryHandler,
    ReadyHandler,
)
from persimmonhold.platform._settings_file import PlatformSettingsFile
from persimmonhold.platform._upstream_client import PlatformUpstreamClient
from persimmonhold.web import ExchangeHandler, parse_address

if TYPE_CHECKING:
    from persimmonhold.control.shell import ControlNode


@final
class HttpPlatformAdapter(PlatformAdapter):
    """Connects the entry and the control role of one VM to the platform."""

    def __init__(self, file: PlatformSettingsFile) -> None:
        """Create the adapter of one VM."""
        self.file = file
        self.bounds = file.bounds
        self.dialect = PlatformDialect()
        self.upstream_client = PlatformUpstreamClient(
            file.list_address,
            file.settings.vm.name,
        )

    def create_entry_handlers(
        self, status: EntryStatus
    ) -> tuple[ServedAddress, ...]:
        """Return the readiness and directory handlers that have an address."""
        handlers: tuple[tuple[str, ExchangeHandler], ...] = (
            (self.file.ready_address, ReadyHandler(status)),
            (self.file.directory_address, DirectoryHandler(status)),
        )
        return tuple(
            ServedAddress(parse_address(address).unwrap(), handler)
            for address, handler in handlers
            if address
        )

    def create_operator_handler(self, node: 'ControlNode') -> ExchangeHandler:
        """Return the handler that accepts and returns the configuration."""
        return platform.ConfigurationHandler(node)
