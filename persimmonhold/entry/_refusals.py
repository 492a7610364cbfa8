"""Answers refusals as problem documents, and counts them."""

import math

import msgspec

from persimmonhold.failures import Refusal
from persimmonhold.observability import Metrics, metric
from persimmonhold.web import RAN, REQUEST_ID, Exchange, encode_headers


async def refuse(
    exchange: Exchange,
    refusal: Refusal,
    request_id: str,
    metrics: Metrics,
    service_class: str = '',
) -> None:
    """Send the problem document of a refusal."""
    metrics.increment(
        metric.REFUSALS,
        reason=refusal.reason,
        service_class=service_class,
        ran=refusal.ran,
    )
    headers = {REQUEST_ID: request_id, RAN: refusal.ran.value}
    if refusal.retry_after_s is not None:
        headers['retry-after'] = str(math.ceil(refusal.retry_after_s))
    await exchange.respond(
        refusal.status,
        problem_document(refusal, request_id),
        'application/problem+json',
        encode_headers(headers),
    )


def problem_document(refusal: Refusal, request_id: str) -> bytes:
    """Return the body of a refusal."""
    return msgspec.json.encode({
        'type': 'about:blank',
        'title': refusal.reason.value.replace('_', ' '),
        'status': refusal.status,
        'reason': refusal.reason,
        'ran': refusal.ran,
        'detail': refusal.detail,
        'request_id': request_id,
    })
