"""HTTP/1.1 on asyncio and h11: servers, connections and addresses."""

from persimmonhold.web._address import Address, parse_address
from persimmonhold.web._body_end import BodyEnd
from persimmonhold.web._bounds import HttpBounds
from persimmonhold.web._buffer_share import BufferShare
from persimmonhold.web._client_connection import ClientConnection
from persimmonhold.web._client_request import ClientRequest
from persimmonhold.web._close_cause import CloseCause
from persimmonhold.web._connection_buffers import CONNECTION_BYTES
from persimmonhold.web._end_to_end import select_end_to_end_headers
from persimmonhold.web._exchange import Exchange
from persimmonhold.web._exchange_handler import ExchangeHandler
from persimmonhold.web._fetch import FetchedResponse, fetch, fetch_on_connection
from persimmonhold.web._headers import (
    CALLER_HEADER,
    COMMAND_ID_HEADER,
    DEADLINE_MS_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    IF_MATCH_HEADER,
    OPERATOR_HEADER,
    PRIORITY_HEADER,
    RAN_HEADER,
    REFUSAL_REASON_HEADER,
    RELAYED_FOR_HEADER,
    RELAYED_RUNS_HEADER,
    REQUEST_ID_HEADER,
    RESUME_OFFSET_HEADER,
    SERVICE_CLASS_HEADER,
    Headers,
    encode_headers,
    find_header,
)
from persimmonhold.web._late_response import LateResponseSkipper
from persimmonhold.web._memory_budget import EvictionCause, MemoryBudget
from persimmonhold.web._peer_timeout import PeerTimeout
from persimmonhold.web._rejection import Rejection
from persimmonhold.web._request_head import RequestHead
from persimmonhold.web._response_body_sink import ResponseBodySink
from persimmonhold.web._response_head import ResponseHead
from persimmonhold.web._server import HttpServer
from persimmonhold.web._stall_detector import StallDetector

__all__ = (
    'CALLER_HEADER',
    'COMMAND_ID_HEADER',
    'CONNECTION_BYTES',
    'DEADLINE_MS_HEADER',
    'IDEMPOTENCY_KEY_HEADER',
    'IF_MATCH_HEADER',
    'OPERATOR_HEADER',
    'PRIORITY_HEADER',
    'RAN_HEADER',
    'REFUSAL_REASON_HEADER',
    'RELAYED_FOR_HEADER',
    'RELAYED_RUNS_HEADER',
    'REQUEST_ID_HEADER',
    'RESUME_OFFSET_HEADER',
    'SERVICE_CLASS_HEADER',
    'Address',
    'BodyEnd',
    'BufferShare',
    'EvictionCause',
    'MemoryBudget',
    'ResponseBodySink',
    'ClientConnection',
    'ClientRequest',
    'CloseCause',
    'Exchange',
    'ExchangeHandler',
    'FetchedResponse',
    'Headers',
    'HttpBounds',
    'HttpServer',
    'LateResponseSkipper',
    'PeerTimeout',
    'Rejection',
    'RequestHead',
    'ResponseHead',
    'StallDetector',
    'fetch_on_connection',
    'encode_headers',
    'select_end_to_end_headers',
    'fetch',
    'find_header',
    'parse_address',
)
