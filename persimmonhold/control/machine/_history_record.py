"""One accepted change of the catalogue, for auditors."""

import hashlib
from typing import Final, final

import msgspec

GENESIS_DIGEST: Final = hashlib.sha256(b'').hexdigest()


@final
class HistoryRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Who changed what, when and why, chained to the record before."""

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
        """Return the record with its digest."""
        return msgspec.structs.replace(self, digest=self.compute_digest())

    def compute_digest(self) -> str:
        """Return the digest that the fields of the record give."""
        without_digest = msgspec.structs.replace(self, digest='')
        encoded = msgspec.json.encode(without_digest, order='sorted')
        return hashlib.sha256(encoded).hexdigest()
