"""Digests by which repeats of the same request are recognized."""

import hashlib
from typing import Final

# The ids in a prompt hold no colon, so none of them equals a digest.
_PREFIX: Final = 'r:'
_DIGEST_BYTES: Final = 10


def fingerprint_request(
    method: str, host: str, target: str, caller: str, body: bytes
) -> tuple[str, ...]:
    """Return what identifies a request, and its repeats by other callers.

    The digests are of the method, host, path and body; of these and the query;
    of these and the caller. Repeats share those that do not differ.
    """
    path, _, query = target.partition('?')
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (method.encode(), host.encode(), path.encode(), body):
        digest.update(b'%d:' % len(field))
        digest.update(field)
    digests = [digest.hexdigest()]
    for name, text in (('query', query), ('caller', caller)):
        variant = digest.copy()
        variant.update(f'{name}:{text}'.encode())
        digests.append(variant.hexdigest())
    return tuple(f'{_PREFIX}{one}' for one in digests)


def is_fingerprint(part: str) -> bool:
    """Tell whether a piece of evidence is a fingerprint or part of a prompt."""
    return part.startswith(_PREFIX)
