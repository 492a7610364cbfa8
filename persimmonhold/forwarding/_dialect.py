"""How requests and answers are written on the wire of a platform."""

import abc

from returns.result import Result

from persimmonhold.fleet import RequestProfile
from persimmonhold.forwarding._forward_terms import ForwardTerms
from persimmonhold.forwarding._upstream_answer import UpstreamAnswer
from persimmonhold.web import Headers, RequestHead, ResponseHead


class Dialect(abc.ABC):
    """Translates heads; it decides nothing."""

    @abc.abstractmethod
    def read_profile(self, head: RequestHead) -> Result[RequestProfile, str]:
        """Return what a head says of its request, or what is malformed."""

    @abc.abstractmethod
    def forwarded_headers(
        self,
        head: RequestHead,
        terms: ForwardTerms,
    ) -> Headers:
        """Return the headers of the request to an upstream."""

    @abc.abstractmethod
    def read_answer(
        self,
        head: ResponseHead,
        request_id: str,
    ) -> UpstreamAnswer:
        """Return what the head of an answer says."""

    @abc.abstractmethod
    def refusal_headers(self, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of the system's own."""
