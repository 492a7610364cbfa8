"""A caller's request after parsing and validation."""

import hashlib
from typing import final

import msgspec

from persimmonhold.admission import AdmissionRequest
from persimmonhold.attempts import RequestProperties
from persimmonhold.control.machine import ClaimKey
from persimmonhold.entry._claim_end_committer import wall_clock_ms
from persimmonhold.web import Headers


@final
class ParsedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A valid request: what to send to an upstream and how to admit it.

    `headers` are the end-to-end headers to forward. `idempotency_key` is
    empty unless the request claims a key; `caller_scope` is the caller name
    that the key is scoped to.
    """

    admission_request: AdmissionRequest
    properties: RequestProperties
    method: str
    target: str
    headers: Headers
    body: bytes
    idempotency_key: str = ''
    caller_scope: str = ''

    def build_claim_command(self, vm: str, incarnation: str) -> ClaimKey:
        """Return the command that claims the request's idempotency key."""
        return ClaimKey(
            at_ms=wall_clock_ms(),
            caller=self.caller_scope,
            service=self.admission_request.target,
            key=self.idempotency_key,
            content_digest=self._content_digest(),
            request_id=self.admission_request.request_id,
            vm=vm,
            incarnation=incarnation,
        )

    def _content_digest(self) -> str:
        digest = hashlib.sha256(f'{self.method} {self.target}\n'.encode())
        digest.update(self.body)
        return digest.hexdigest()
