"""How requests and answers are written on the wire of a platform."""

import abc

from returns.result import Result

from persimmonhold.fleet import RequestProfile
from persimmonhold.forwarding._forward_parameters import ForwardParameters
from persimmonhold.forwarding._upstream_response_head import (
    UpstreamResponseHead,
)
from persimmonhold.web import Headers, RequestHead, ResponseHead


class Dialect(abc.ABC):
    """Translates heads; it decides nothing."""

    @abc.abstractmethod
    def decode_profile(self, head: RequestHead) -> Result[RequestProfile, str]:
        """Return what a head says of its request, or what is malformed."""

    @abc.abstractmethod
    def build_request_headers(
        self,
        head: RequestHead,
        parameters: ForwardParameters,
    ) -> Headers:
        """Return the headers of the request to an upstream."""

    @abc.abstractmethod
    def decode_response_head(
        self,
        head: ResponseHead,
        request_id: str,
    ) -> UpstreamResponseHead:
        """Return what the head of an answer says."""

    @abc.abstractmethod
    def build_refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of the system's own."""
