"""How the receiver of a response recognizes the end of its body."""

import enum
from typing import final


@final
@enum.unique
class BodyEnd(enum.StrEnum):
    """What marks the end of a body.

    `connection`: the end of the connection, which a broken response has too.
    """

    length = 'length'
    chunks = 'chunks'
    connection = 'connection'
