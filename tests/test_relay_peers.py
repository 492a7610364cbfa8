"""Which entry a cut entry chooses to run its requests."""

import random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from persimmonhold.messages import VmRecord
from persimmonhold.reach import RelayPeers

_DOMAINS = 6
_PER_DOMAIN = 32
_MAX_TRIES = 4


def _make_fleet() -> list[VmRecord]:
    return [
        VmRecord(
            name=f'vm{domain}-{number}',
            failure_domain=f'd{domain}',
            callers=f'10.{domain}.0.{number}:80',
        )
        for domain in range(_DOMAINS)
        for number in range(_PER_DOMAIN)
    ]


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('cut_domains', [1, 3])
def test_failure_domain_that_is_cut_off_does_not_use_up_the_tries(
    cut_domains: int, seed: int
) -> None:
    """An entry of a cut domain reaches another one within a few tries."""
    vms = _make_fleet()
    names = {vm.name for vm in vms}
    cut = {f'd{domain}' for domain in range(cut_domains)}
    peers = RelayPeers('vm0-0', 'd0', random.Random(seed))
    served = 0
    for number in range(100):
        now = number * 0.5
        tried: set[str] = set()
        while len(tried) < _MAX_TRIES:
            chosen = peers.choose(vms, names, tried, now)
            assert chosen is not None
            tried.add(chosen.name)
            if chosen.failure_domain not in cut:
                served += 1
                break
            peers.record_unable(chosen, now, is_cut=True)
    assert_that(served, Equals(100))


def test_entries_of_the_own_failure_domain_come_first() -> None:
    vms = _make_fleet()
    names = {vm.name for vm in vms}
    peers = RelayPeers('vm2-0', 'd2', random.Random(1))
    chosen = {peers.choose(vms, names, (), 0) for _ in range(200)}
    domains = {vm.failure_domain for vm in chosen if vm is not None}
    assert_that(domains, Equals({'d2'}))
    assert_that(len(chosen) > _PER_DOMAIN / 2, Is(True))


def test_entry_itself_and_those_not_live_are_never_chosen() -> None:
    vms = _make_fleet()[:3]
    peers = RelayPeers('vm0-0', 'd0', random.Random(1))
    assert_that(peers.choose(vms, {'vm0-0'}, (), 0), Is(None))
    found = peers.choose(vms, {'vm0-0', 'vm0-2'}, (), 0)
    assert_that(found, Equals(vms[2]))
