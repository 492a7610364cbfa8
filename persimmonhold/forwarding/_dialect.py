"""Interface to convert a platform's headers."""

import abc

from returns.result import Result

from persimmonhold.fleet import RequestProfile
from persimmonhold.forwarding._decoded_response_head import (
    DecodedResponseHead,
)
from persimmonhold.forwarding._forward_parameters import ForwardParameters
from persimmonhold.web import Headers, RequestHead, ResponseHead


class Dialect(abc.ABC):
    """Converts between a platform's headers and the types of this system."""

    @abc.abstractmethod
    def decode_profile(self, head: RequestHead) -> Result[RequestProfile, str]:
        """Return the profile of a request, or what is malformed in its head."""

    @abc.abstractmethod
    def hash_key(self, head: RequestHead) -> str:
        """Return the digest of the key in a head; '' if there is not one."""

    @abc.abstractmethod
    def build_request_headers(
        self,
        head: RequestHead,
        parameters: ForwardParameters,
    ) -> Headers:
        """Return the headers of the request sent to an upstream."""

    @abc.abstractmethod
    def build_relay_headers(
        self, head: RequestHead, time_left_ms: int
    ) -> Headers:
        """Return the headers of a request that another entry forwards.

        They are those of the caller, with the time that is left.
        """

    @abc.abstractmethod
    def decode_response_head(
        self,
        head: ResponseHead,
    ) -> DecodedResponseHead:
        """Decode the head of an upstream's response."""

    @abc.abstractmethod
    def build_refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Return the headers of a refusal; None states no time to retry."""

    @abc.abstractmethod
    def build_challenge_headers(self) -> Headers:
        """Return the headers that tell a caller how to send a key."""
