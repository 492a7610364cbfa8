"""Tests of the evidence on reach, and of the choice of other entries."""

import random
from typing import Final, final

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from persimmonhold.forwarding._relay_head import (
    build_refusal_proof,
    restore_caller_head,
)
from persimmonhold.messages import VmRecord
from persimmonhold.reach import ReachMonitor, RelayPeers
from persimmonhold.web import (
    RAN_HEADER,
    REQUEST_ID_HEADER,
    RequestHead,
    encode_headers,
    find_header,
)

_SERVICE: Final = 'models'
_NAMES: Final = ('a', 'b', 'c', 'd', 'e')
_LIVE: Final = frozenset(_NAMES)


def _vm(
    name: str,
    domain: str = 'd1',
    weight: float = 1,
    draining: bool = False,
    callers: str = '10.1.0.2:80',
) -> VmRecord:
    return VmRecord(
        name=name,
        failure_domain=domain,
        callers=callers,
        weight=weight,
        draining=draining,
    )


def _peers(seed: int = 1) -> RelayPeers:
    return RelayPeers('self', 'd1', random.Random(seed))


# Evidence that a service is out of reach.


def test_failures_of_one_upstream_never_start_probes_of_many() -> None:
    """One upstream that is down says nothing about the entry."""
    monitor = ReachMonitor()
    starts = [
        monitor.record_failure(_SERVICE, 'u1', 9, number / 10)
        for number in range(100)
    ]
    assert_that(any(starts), Is(False))
    assert_that(monitor.is_lost(_SERVICE), Is(False))


def test_failure_of_the_only_upstream_starts_probes() -> None:
    monitor = ReachMonitor()
    assert_that(monitor.record_failure(_SERVICE, 'u1', 1, 0), Is(True))


@given(gap_s=st.floats(min_value=2.0, max_value=1e6))
def test_failures_far_apart_start_no_probes(gap_s: float) -> None:
    """Two upstreams that crash some seconds apart are no cut."""
    monitor = ReachMonitor()
    monitor.record_failure(_SERVICE, 'u1', 9, 0)
    assert_that(monitor.record_failure(_SERVICE, 'u2', 9, gap_s), Is(False))


@final
class ReachMachine(RuleBasedStateMachine):
    """A service is lost only while it is probed without a connection."""

    def __init__(self) -> None:
        super().__init__()
        self.monitor = ReachMonitor()
        self.now = 0.0
        self.is_probed = False
        self.is_lost = False

    @rule(upstream=st.sampled_from(('u1', 'u2', 'u3')))
    def fail(self, upstream: str) -> None:
        """Have an upstream fail."""
        self.now += 0.1
        starts = self.monitor.record_failure(_SERVICE, upstream, 3, self.now)
        assert_that(starts and self.is_probed, Is(False))

    @rule()
    def connect(self) -> None:
        """Open a connection."""
        self.monitor.record_connected(_SERVICE)
        self.is_lost = False

    @precondition(lambda machine: not machine.is_probed)
    @rule()
    def begin_probing(self) -> None:
        """Begin to probe."""
        self.monitor.begin_probing(_SERVICE)
        self.is_probed = True

    @precondition(lambda machine: machine.is_probed)
    @rule()
    def end_probing(self) -> None:
        """Find an upstream in reach."""
        self.monitor.end_probing(_SERVICE)
        self.is_probed = False
        self.is_lost = False

    @precondition(lambda machine: machine.is_probed)
    @rule()
    def lose(self) -> None:
        """Have all probes fail."""
        is_new = self.monitor.record_lost(_SERVICE, self.now)
        assert_that(is_new, Is(not self.is_lost))
        self.is_lost = True

    @invariant()
    def lost_while_probed(self) -> None:
        """Check what the monitor tells."""
        assert_that(self.monitor.is_lost(_SERVICE), Is(self.is_lost))
        if self.is_lost:
            assert_that(self.is_probed, Is(True))


TestReachMachine = ReachMachine.TestCase


def test_services_are_judged_apart() -> None:
    monitor = ReachMonitor()
    monitor.begin_probing('one')
    monitor.record_lost('one', 0)
    assert_that(monitor.is_lost('one'), Is(True))
    assert_that(monitor.is_lost('other'), Is(False))


# The choice of other entries.


# Which requests were relayed.


def _head(peer: str, **headers: str) -> RequestHead:
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return RequestHead(
        method='POST',
        target='/chat/x',
        headers=encode_headers(named),
        peer=peer,
    )


@given(host=st.sampled_from(('10.7.0.1', 'fd00::7', '::1')))
def test_head_of_a_relayed_request_is_that_of_its_caller(host: str) -> None:
    sent = _head(f'{host}:5000', x_own='1')
    relayed = _head(
        '10.1.0.2:40001',
        x_own='1',
        persimmonhold_relayed_for=host,
        persimmonhold_request_id='r1',
    )
    restored = restore_caller_head(relayed)
    assert_that(restored.headers, Equals(sent.headers))
    assert_that(
        restored.peer.rpartition(':')[0], Equals(sent.peer.rpartition(':')[0])
    )


@pytest.mark.parametrize(
    ('status', 'ran'),
    [(503, 'no'), (429, 'no'), (404, 'no'), (502, 'unknown'), (504, 'unknown')],
)
def test_refusal_tells_the_other_entry_whether_the_request_ran(
    status: int, ran: str
) -> None:
    head = _head(
        '10.1.0.2:40001',
        persimmonhold_relayed_for='10.9.9.9',
        persimmonhold_request_id='r1',
    )
    proof = build_refusal_proof(head, status, 'quota')
    assert_that(find_header(proof, RAN_HEADER), Equals(ran))
    assert_that(find_header(proof, REQUEST_ID_HEADER), Equals('r1'))
    assert_that(
        build_refusal_proof(_head('10.1.0.2:1'), status, 'quota'), Equals(())
    )
