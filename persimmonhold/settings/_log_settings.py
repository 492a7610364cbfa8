"""The section `[logs]`."""

from typing import Annotated, Literal, final

import msgspec
from msgspec import Meta


@final
class LogSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Level and destination of the log."""

    level: Annotated[
        Literal['debug', 'info', 'warning', 'error'],
        Meta(description='Lowest level that is logged.'),
    ] = 'info'
    path: Annotated[
        str,
        Meta(description='File; empty: standard error; -: standard output.'),
    ] = ''
