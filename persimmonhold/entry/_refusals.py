"""Sends refusals as problem documents and counts them."""

import math
from typing import Final

import msgspec

from persimmonhold.failures import Refusal
from persimmonhold.observability import Metrics, metric
from persimmonhold.web import (
    RAN_HEADER,
    REQUEST_ID_HEADER,
    Exchange,
    Headers,
    encode_headers,
)

PROBLEM_MEDIA_TYPE: Final = 'application/problem+json'


def send_refusal(
    exchange: Exchange,
    refusal: Refusal,
    request_id: str,
    metrics: Metrics,
    service_class: str = '',
) -> None:
    """Count a refusal and send its problem document."""
    count_refusal(refusal, metrics, service_class)
    exchange.respond_nowait(
        refusal.status,
        build_problem_document(refusal, request_id),
        PROBLEM_MEDIA_TYPE,
        build_refusal_headers(refusal, request_id),
    )


def count_refusal(
    refusal: Refusal,
    metrics: Metrics,
    service_class: str,
) -> None:
    """Count a refusal by reason, service class and whether it ran."""
    metrics.increment(
        metric.REFUSALS,
        reason=refusal.reason,
        service_class=service_class,
        ran=refusal.ran,
    )


def build_refusal_headers(refusal: Refusal, request_id: str) -> Headers:
    """Return the headers of a problem document.

    The delay in retry-after is rounded up to at least one second.
    """
    headers = {REQUEST_ID_HEADER: request_id, RAN_HEADER: refusal.ran.value}
    if refusal.retry_after_s is not None:
        headers['retry-after'] = str(max(1, math.ceil(refusal.retry_after_s)))
    return encode_headers(headers)


def build_problem_document(refusal: Refusal, request_id: str) -> bytes:
    """Return the problem document of a refusal as JSON."""
    return msgspec.json.encode({
        'type': 'about:blank',
        'title': refusal.reason.value.replace('_', ' '),
        'status': refusal.status,
        'reason': refusal.reason,
        'ran': refusal.ran,
        'detail': refusal.detail,
        'request_id': request_id,
    })
