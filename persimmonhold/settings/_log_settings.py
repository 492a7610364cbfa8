"""The section `[logs]`."""

from typing import Annotated, Literal, final

import msgspec
from msgspec import Meta


@final
class LogSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What is logged, and where to."""

    level: Annotated[
        Literal['debug', 'info', 'warning', 'error'],
        Meta(description='Lowest level that is written.'),
    ] = 'info'
    path: Annotated[
        str,
        Meta(description='File; empty: error stream; -: standard output.'),
    ] = ''
