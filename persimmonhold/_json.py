"""JSON from outside, with one kind of error for all that cannot be decoded."""

from typing import TypeVar

import msgspec

_DocumentT = TypeVar('_DocumentT')


def decode_json(
    body: bytes | msgspec.Raw, document_type: type[_DocumentT]
) -> _DocumentT:
    """Decode a document.

    Raises `msgspec.DecodeError` if it is malformed, nested too deeply, or not
    of the type.
    """
    try:
        return msgspec.json.decode(body, type=document_type)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error
