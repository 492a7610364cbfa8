"""Tests of the evidence on reach, and of the choice of other entries."""

import random
from typing import Final, final

import msgspec
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
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from persimmonhold.forwarding._relay_head import (
    build_refusal_proof,
    build_relay_headers,
    is_relayed,
    read_earlier_runs,
    restore_caller_head,
)
from persimmonhold.messages import VmRecord
from persimmonhold.platform._dialect import PlatformDialect
from persimmonhold.reach import ReachMonitor, RelayPeers
from persimmonhold.web import (
    RAN_HEADER,
    REQUEST_ID_HEADER,
    RequestHead,
    encode_headers,
    find_header,
)
from tests.fleet_builders import make_request

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


@given(
    vms=st.lists(
        st.builds(
            _vm,
            name=st.sampled_from((*_NAMES, 'self')),
            domain=st.sampled_from(('d1', 'd2')),
            weight=st.sampled_from((-1.0, 0.0, 0.5, 1.0, 3.0)),
            draining=st.booleans(),
            callers=st.sampled_from(('', '10.1.0.2:80')),
        ),
        unique_by=lambda vm: vm.name,
    ),
    live=st.sets(st.sampled_from((*_NAMES, 'self'))),
    tried=st.sets(st.sampled_from(_NAMES)),
    unable=st.sets(st.sampled_from(_NAMES)),
    doubted=st.sets(st.sampled_from(_NAMES)),
    sent=st.lists(st.sampled_from(_NAMES)),
    seed=st.integers(0, 5),
)
def test_chosen_entry_can_take_the_request(
    vms: list[VmRecord],
    live: set[str],
    tried: set[str],
    unable: set[str],
    doubted: set[str],
    sent: list[str],
    seed: int,
) -> None:
    peers = _peers(seed)
    for name in sent:
        peers.record_sent(name)
    for name in unable:
        peers.record_unable(_vm(name), 10, is_cut=False)
    for name in doubted:
        peers.record_unanswered(name, 10)
    chosen = peers.choose(vms, live, tried, 10.5)
    able = (
        {
            vm.name
            for vm in vms
            if vm.callers and not vm.draining and vm.name in live
        }
        - tried
        - unable
        - {'self'}
    )
    assert_that(chosen is None, Is(not able))
    if chosen is None:
        return
    assert_that(chosen.name in able, Is(True))
    if able - doubted:
        assert_that(chosen.name in doubted, Is(False))
        near = {
            vm.name
            for vm in vms
            if vm.failure_domain == 'd1' and vm.name in able - doubted
        }
        assert_that(chosen.name in near, Is(bool(near)))


def test_nothing_stays_excluded() -> None:
    """Entries are asked again a while after they failed, and forgotten."""
    peers = _peers()
    for name in _NAMES:
        peers.record_unable(_vm(name), 10, is_cut=False)
        peers.record_unanswered(name, 10)
        peers.record_sent(name)
        peers.record_ended(name)
    vms = [_vm(one) for one in _NAMES]
    assert_that(peers.choose(vms, _LIVE, (), 10.9), Is(None))
    assert_that(peers.choose(vms, _LIVE, (), 11.1) is None, Is(False))
    peers.record_unable(_vm('a'), 20, is_cut=False)
    peers.record_unanswered('a', 20)
    assert_that(set(peers.paused_until), Equals({'a'}))
    assert_that(set(peers.doubted_until), Equals({'a'}))
    assert_that(len(peers.running), Equals(0))


def test_entry_that_hangs_gets_no_more_requests_than_the_others_hold() -> None:
    peers = _peers()
    vms = [_vm(name) for name in _NAMES]
    taken = 0
    for _ in range(100):
        chosen = peers.choose(vms, _LIVE, (), 1)
        assert chosen is not None
        peers.record_sent(chosen.name)
        if chosen.name == 'a':
            taken += 1
        else:
            peers.record_ended(chosen.name)
    assert_that(taken, LessThan(2))


@pytest.mark.parametrize(
    ('weights', 'heavy'), [((1, 1, 6), 'c'), ((0, 0, 1), 'c')]
)
def test_requests_are_shared_by_weight(
    weights: tuple[int, ...], heavy: str
) -> None:
    peers = _peers()
    vms = [
        _vm(name, weight=weight)
        for name, weight in zip(_NAMES, weights, strict=False)
    ]
    for _ in range(80):
        chosen = peers.choose(vms, _LIVE, (), 1)
        assert chosen is not None
        peers.record_sent(chosen.name)
    share = peers.running[heavy] / 80
    assert_that(share, GreaterThan(0.7))


# Which requests were relayed.


def _head(peer: str, **headers: str) -> RequestHead:
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return RequestHead(
        method='POST',
        target='/chat/x',
        headers=encode_headers(named),
        peer=peer,
    )


@pytest.mark.parametrize(
    ('callers', 'peer', 'expected'),
    [
        ('10.1.0.2:80', '10.1.0.2:40001', True),
        ('10.1.0.2:80', '10.1.0.20:40001', False),
        ('10.1.0.2:80', '110.1.0.2:40001', False),
        ('10.1.0.2:80', '', False),
        ('', '', False),
        ('', '10.1.0.2:40001', False),
        (':80', '', False),
        ('[fd00::2]:80', 'fd00::2:40001', True),
        ('[fd00::2]:80', 'fd00::21:40001', False),
        ('[fd00::2]:80', 'fd00::2:2:40001', False),
        ('[FD00:0::2]:80', 'fd00::2:40001', True),
        ('nonsense', 'nonsense', False),
    ],
)
def test_only_the_address_of_a_vm_is_taken_for_an_entry(
    callers: str, peer: str, expected: bool
) -> None:
    """A caller that claims to be an entry gets nothing by it."""
    vms = [_vm('a', callers=callers)]
    claimed = _head(peer, persimmonhold_relayed_for='10.9.9.9')
    assert_that(is_relayed(claimed, vms), Is(expected))
    assert_that(is_relayed(_head(peer), vms), Is(False))
    assert_that(is_relayed(claimed, ()), Is(False))


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


def test_relayed_request_has_the_fingerprint_of_its_caller() -> None:
    """A prompt that crashes upstreams is recognized at every entry."""
    dialect = PlatformDialect()
    sent = _head(
        '10.7.0.1:5000', attempt_id='r1', host='a.example', deadline_ms='900'
    )
    profile = dialect.decode_profile(sent).unwrap()
    headers = build_relay_headers(
        dialect,
        sent,
        msgspec.structs.replace(make_request(1), profile=profile),
        0.5,
        1,
    )
    arrived = RequestHead(
        method='POST',
        target='/chat/x',
        headers=headers,
        peer='10.1.0.2:40001',
    )
    assert_that(is_relayed(arrived, [_vm('a')]), Is(True))
    assert_that(read_earlier_runs(arrived), Equals(1))
    restored = dialect.decode_profile(restore_caller_head(arrived)).unwrap()
    assert_that(
        restored, Equals(msgspec.structs.replace(profile, deadline_ms=500))
    )


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('', 0),
        ('0', 0),
        ('3', 3),
        ('-1', 0),
        ('1e9', 0),
        ('99999999999999999999', 0),
        ('\xb2', 0),
        (' 1', 0),
    ],
)
def test_unreadable_number_of_earlier_runs_counts_as_none(
    text: str, expected: int
) -> None:
    head = _head('10.1.0.2:1', persimmonhold_relayed_runs=text)
    assert_that(read_earlier_runs(head), Equals(expected))


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
