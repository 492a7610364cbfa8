"""A response of the operator interface."""

from typing import Any, final

import msgspec
from returns.result import Failure as Failed
from returns.result import Result, Success

from persimmonhold.failures import Failure, FailureKind

_FIRST_ERROR_STATUS = 400


@final
class OperatorReply(msgspec.Struct, frozen=True, kw_only=True):
    """A response: HTTP status, JSON document and the address that sent it."""

    status: int
    document: dict[str, Any]
    peer: str

    def to_result(self, step: str) -> Result[dict[str, Any], Failure]:
        """Return the document, or a failure of `step` for an error status."""
        if self.status < _FIRST_ERROR_STATUS:
            return Success(self.document)
        reason = str(self.document.get('reason', self.status))
        detail = str(self.document.get('detail', ''))
        return Failed(
            Failure(
                kind=FailureKind.refused,
                step=step,
                peer=self.peer,
                detail=f'{reason}: {detail}' if detail else reason,
            ),
        )
