"""Splits a page of the list into entries, also where one is no JSON."""

import re
from typing import Final, final

import msgspec

from persimmonhold._json import decode_json

# A string, a bracket, or a comma; what is between them does not matter.
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_ENTRIES: Final = re.compile(rb'"instances"\s*:\s*\[')
_ENTRY_DEPTH: Final = 1


@final
class _WirePage(msgspec.Struct, frozen=True, rename='kebab'):
    """A page of the list; `next_token` is that of the next page, or null."""

    instances: tuple[msgspec.Raw, ...]
    next_token: str | None = None


def read_list_page(
    body: bytes,
) -> tuple[tuple[bytes | msgspec.Raw, ...], str | None]:
    """Return the entries, each still encoded, and the token of the next page.

    Raises `msgspec.DecodeError`.
    """
    try:
        page = decode_json(body, _WirePage)
    except msgspec.DecodeError:
        # Another writer's entry may be no JSON; the others hold.
        entries, rest = _split_page(body)
        return entries, decode_json(rest, _WirePage).next_token
    return page.instances, page.next_token


def _split_page(body: bytes) -> tuple[tuple[bytes, ...], bytes]:
    """Return the entries as bytes, and the page without them.

    Raises `msgspec.DecodeError` if the list has no beginning or no end.
    """
    begin = _ENTRIES.search(body)
    if begin is None:
        raise msgspec.DecodeError('no list of entries')
    entries: list[bytes] = []
    depth = _ENTRY_DEPTH
    start = begin.end()
    for token in _TOKEN.finditer(body, start):
        mark = token.group()
        depth += (mark in b'[{') - (mark in b']}')
        is_end = depth < _ENTRY_DEPTH
        if is_end or (mark == b',' and depth == _ENTRY_DEPTH):
            entries.append(body[start : token.start()])
            start = token.end()
        if is_end:
            rest = body[: begin.end()] + body[token.start() :]
            return tuple(filter(bytes.strip, entries)), rest
    raise msgspec.DecodeError('list of entries without an end')
