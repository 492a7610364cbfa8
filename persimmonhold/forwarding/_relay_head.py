"""Headers by which one entry relays a request to another one."""

import ipaddress
import re
from collections.abc import Iterable
from typing import Final, TypeAlias

import msgspec

from persimmonhold.failures import Ran
from persimmonhold.fleet import DispatchRequest
from persimmonhold.forwarding._dialect import Dialect
from persimmonhold.messages import VmRecord
from persimmonhold.web import (
    RAN_HEADER,
    REFUSAL_REASON_HEADER,
    RELAYED_FOR_HEADER,
    RELAYED_RUNS_HEADER,
    REQUEST_ID_HEADER,
    Headers,
    RequestHead,
    encode_headers,
)

_IpAddress: TypeAlias = ipaddress.IPv4Address | ipaddress.IPv6Address
_MS_PER_S: Final = 1000
_MIN_DEADLINE_MS: Final = 1
_RUN_COUNT: Final = re.compile('[0-9]{1,4}')
_RELAY_HEADERS: Final = frozenset((
    RELAYED_FOR_HEADER.encode('ascii'),
    RELAYED_RUNS_HEADER.encode('ascii'),
    REQUEST_ID_HEADER.encode('ascii'),
))
# Statuses of refusals that leave open whether the request has run.
_MAY_HAVE_RUN_STATUSES: Final = frozenset((502, 504))


def build_relay_headers(
    dialect: Dialect,
    head: RequestHead,
    dispatch_request: DispatchRequest,
    left_s: float,
    run_count: int,
) -> Headers:
    """Return the headers of a relayed request that has `left_s` seconds.

    It may have run `run_count` times before.
    """
    left_ms = max(_MIN_DEADLINE_MS, int(left_s * _MS_PER_S))
    profile = dispatch_request.profile
    return (
        *dialect.build_relay_headers(head, left_ms),
        *encode_headers({
            REQUEST_ID_HEADER: profile.request_id,
            RELAYED_FOR_HEADER: profile.caller,
            RELAYED_RUNS_HEADER: str(run_count),
        }),
    )


def is_relayed(head: RequestHead, vms: Iterable[VmRecord]) -> bool:
    """Tell whether another entry relayed a request; callers cannot claim it."""
    if not head.header(RELAYED_FOR_HEADER):
        return False
    host = _parse_host(head.peer)
    if host is None:
        return False
    return any(host == _parse_host(vm.callers) for vm in vms)


def read_earlier_runs(head: RequestHead) -> int:
    """Return how often a relayed request may have run; 0 if not told."""
    text = head.header(RELAYED_RUNS_HEADER)
    return int(text) if _RUN_COUNT.fullmatch(text) else 0


def restore_caller_head(head: RequestHead) -> RequestHead:
    """Return the head of a relayed request as its caller sent it."""
    return msgspec.structs.replace(
        head,
        headers=tuple(
            pair for pair in head.headers if pair[0] not in _RELAY_HEADERS
        ),
        peer=f'{head.header(RELAYED_FOR_HEADER)}:0',
    )


def build_refusal_proof(head: RequestHead, status: int, reason: str) -> Headers:
    """Return what tells the entry that relayed a request of its refusal."""
    if not head.header(RELAYED_FOR_HEADER):
        return ()
    ran = Ran.unknown if status in _MAY_HAVE_RUN_STATUSES else Ran.no
    return encode_headers({
        REQUEST_ID_HEADER: head.header(REQUEST_ID_HEADER),
        RAN_HEADER: ran.value,
        REFUSAL_REASON_HEADER: reason,
    })


def _parse_host(address: str) -> _IpAddress | None:
    """Return the IP address of `ip:port`; IPv6 may have brackets."""
    try:
        return ipaddress.ip_address(address.rpartition(':')[0].strip('[]'))
    except ValueError:
        return None
