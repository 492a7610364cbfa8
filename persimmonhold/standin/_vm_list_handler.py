"""The HTTP interface of a simulated VM list of the platform."""

from typing import Final, final

import msgspec

from persimmonhold.web import Exchange, ExchangeHandler

_OK: Final = 200
_BAD_REQUEST: Final = 400


@final
class PlatformVm(msgspec.Struct, frozen=True, kw_only=True):
    """A VM of the platform, identified by the address of its process."""

    address: str
    state: str = 'live'


@final
class VmListHandler(ExchangeHandler):
    """`GET /vms` reads the list; `PUT /vms` replaces it."""

    def __init__(self) -> None:
        """Create an empty list."""
        self.vms: tuple[PlatformVm, ...] = ()

    async def serve(self, exchange: Exchange) -> None:
        """Replace the list on PUT; respond with it. The path is not checked."""
        if exchange.head.method == 'PUT':
            body = await exchange.read_body()
            try:
                self.vms = msgspec.json.decode(
                    body.value_or(b''),
                    type=tuple[PlatformVm, ...],
                )
            except msgspec.DecodeError as error:
                document = {'error': str(error)}
                await exchange.respond_json(_BAD_REQUEST, document)
                return
        await exchange.respond_json(_OK, {'vms': self.vms})
