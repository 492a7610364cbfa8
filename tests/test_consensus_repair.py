"""The choice of the next membership change."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from persimmonhold.consensus import Configuration, Member
from persimmonhold.consensus._group_health import GroupHealth
from persimmonhold.consensus._repair import choose_membership_change
from persimmonhold.consensus._spare import Spare

_LIVE_SILENCE_S = 0.1
_DEAD_SILENCE_S = 60.0


def _members(names: str) -> Configuration:
    """Return a configuration; a lower-case name is a learner."""
    return Configuration(
        tuple(Member(f'{one}/1', one, one.isupper()) for one in names),
    )


@pytest.mark.parametrize(
    ('members', 'dead', 'caught_up', 'spares', 'expected'),
    [
        ('ABC', '', '', 'D', 'ABC'),
        ('ABC', 'C', '', '', 'ABC'),
        ('ABC', 'C', '', 'd', 'ABCd'),
        ('ABCd', 'C', '', '', 'ABCd'),
        ('ABCd', 'C', 'd', '', 'ABd'),
        ('ABd', '', '', '', 'ABd'),
        ('ABd', '', 'd', '', 'ABD'),
        ('ABCd', '', 'd', '', 'ABC'),
        ('ABCd', 'Cd', '', '', 'ABC'),
        ('ABCd', 'BC', 'd', '', 'ABCd'),
        ('AB', '', '', 'd', 'ABd'),
        ('ABCD', 'C', '', '', 'ABD'),
        ('ABCDE', 'DE', '', 'fg', 'ABCDEg'),
        ('ABCDEg', 'DE', 'g', 'f', 'ABCEg'),
    ],
)
def test_next_change(
    members: str,
    dead: str,
    caught_up: str,
    spares: str,
    expected: str,
) -> None:
    configuration = _members(members)
    silence_s = {
        f'{one}/1': _DEAD_SILENCE_S if one in dead else _LIVE_SILENCE_S
        for one in members
    }
    health = GroupHealth(
        now=0,
        leader='A/1',
        configuration=configuration,
        target_voters=5 if 'E' in members else 3,
        silence_s=silence_s,
        caught_up=frozenset(f'{one}/1' for one in caught_up),
        spares=tuple(Spare(f'{one}/1', one, 0) for one in spares),
        waiting_since={},
        live_within_s=1,
        replacement_timeout_s=30,
    )
    changed = choose_membership_change(health) or configuration
    found = ''.join(
        one.vm if one.is_voter else one.vm.lower() for one in changed.members
    )
    assert_that(found.upper(), Equals(expected.upper()))
    learners = {one.vm.lower() for one in changed.members if not one.is_voter}
    assert_that(
        learners,
        Equals({one for one in expected if one.islower()}),
    )


@pytest.mark.parametrize(
    ('silent_d_s', 'silent_e_s', 'spare_seen_at', 'expected'),
    [
        (31.0, 31.0, None, 'ABCDEf'),
        (31.0, 1.5, None, 'ABCDEf'),
        (31.0, 0.5, None, 'ABCEf'),
        (76.0, 31.0, None, 'ABCEf'),
        (31.0, 31.0, 99.0, 'ABCEf'),
        (31.0, 31.0, 97.0, 'ABCDEf'),
    ],
)
def test_one_of_two_silent_voters_is_replaced_later(
    silent_d_s: float,
    silent_e_s: float,
    spare_seen_at: float | None,
    expected: str,
) -> None:
    """A voter that was only frozen lost its disk instead of a removed one."""
    configuration = _members('ABCDEf')
    silence_s = {f'{one}/1': _LIVE_SILENCE_S for one in 'ABCf'}
    spares = (
        () if spare_seen_at is None else (Spare('g/1', 'g', spare_seen_at),)
    )
    health = GroupHealth(
        now=100,
        leader='A/1',
        configuration=configuration,
        target_voters=5,
        silence_s={**silence_s, 'D/1': silent_d_s, 'E/1': silent_e_s},
        caught_up=frozenset(('f/1',)),
        spares=spares,
        waiting_since={},
        live_within_s=1,
        replacement_timeout_s=30,
    )
    changed = choose_membership_change(health) or configuration
    found = ''.join(one.vm for one in changed.members)
    assert_that(found, Equals(expected))


@pytest.mark.parametrize(
    ('waiting_since', 'vm', 'expected'),
    [
        (60.0, 'd', 'ABCD'),
        (68.0, 'd', 'ABCD'),
        (68.5, 'd', 'ABd'),
        (70.0, 'd', 'ABd'),
        (60.0, 'c', 'ABc'),
    ],
)
def test_spare_is_promoted_first_if_it_is_no_successor(
    waiting_since: float, vm: str, expected: str
) -> None:
    """A voter that is only silent counts until the spare does."""
    learner = Member(f'{vm.upper()}/2', vm, is_voter=False)
    configuration = _members('ABC').with_member(learner)
    health = GroupHealth(
        now=100,
        leader='A/1',
        configuration=configuration,
        target_voters=3,
        silence_s={'A/1': 0, 'B/1': 0, 'C/1': 31, learner.replica: 0},
        caught_up=frozenset((learner.replica,)),
        spares=(),
        waiting_since={learner.replica: waiting_since},
        live_within_s=1,
        replacement_timeout_s=30,
    )
    changed = choose_membership_change(health) or configuration
    found = ''.join(
        one.vm if one.is_voter else one.vm.lower() for one in changed.members
    )
    assert_that(found, Equals(expected))


def test_voter_that_fell_silent_is_removed_once_the_spare_counts() -> None:
    """The group has one voter too many only between the two steps."""
    configuration = _members('ABCD')
    health = GroupHealth(
        now=100,
        leader='A/1',
        configuration=configuration,
        target_voters=3,
        silence_s={'A/1': 0, 'B/1': 0.2, 'C/1': 31, 'D/1': 0},
        caught_up=frozenset(('D/1',)),
        spares=(),
        waiting_since={'D/1': 60},
        live_within_s=1,
        replacement_timeout_s=30,
    )
    changed = choose_membership_change(health)
    assert_that(changed, Equals(_members('ABD')))
