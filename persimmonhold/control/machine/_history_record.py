"""A record of the audit history of operator changes."""

import hashlib
from typing import Final, final

import msgspec

GENESIS_DIGEST: Final = hashlib.sha256(b'').hexdigest()


@final
class HistoryRecord(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted operator change, chained to the preceding record.

    `digest` covers all other fields, `previous_digest` included.
    """

    revision: int
    at_ms: int
    operator: str
    command_id: str
    action: str
    name: str
    reason: str
    content_digest: str
    previous_digest: str
    digest: str = ''

    def with_digest(self) -> 'HistoryRecord':
        """Return a copy of the record with `digest` set."""
        return msgspec.structs.replace(self, digest=self.compute_digest())

    def compute_digest(self) -> str:
        """Return the digest over all fields except `digest`."""
        without_digest = msgspec.structs.replace(self, digest='')
        encoded = msgspec.json.encode(without_digest, order='sorted')
        return hashlib.sha256(encoded).hexdigest()
