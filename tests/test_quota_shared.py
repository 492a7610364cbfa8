"""Limits that 65 entries keep together, in virtual time, one failure a test.

In any 8 s a workspace may have run its limit, a tenth more and 17,000 tokens;
`QuotaWorld.largest_use` is the share of that which it had run.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Final

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from bench.virtual_loop import run_in_virtual_time
from persimmonhold.routes import WorkspaceLimit
from tests.quota_world import LARGE, LIMITS, SMALL, USUAL, QuotaWorld

Act = Callable[[QuotaWorld], Awaitable[None]]
# One workspace of each size at 3.5 to 7.5 times its usual demand.
_SURGES: Final = MappingProxyType({
    'large0': USUAL * 7.5,
    'middle0': USUAL * 3.5,
    'small0': USUAL * 7.5,
})
_CALM: Final = tuple(name for name in LIMITS if name not in _SURGES)
_FAULT_AT_S: Final = 6.0
_DEMANDS: Final = (
    pytest.param({}, id='calm'),
    pytest.param(_SURGES, id='surge'),
)


async def _do_nothing(world: QuotaWorld) -> None:
    """Let the world go on without a failure."""


def _play(
    shares: Mapping[str, float],
    act: Act = _do_nothing,
    *,
    lasts_s: float = 20,
    seed: int = 1,
    limits: Mapping[str, WorkspaceLimit] | None = None,
) -> QuotaWorld:
    """Play a demand, beside which something happens after six seconds."""

    async def play() -> QuotaWorld:
        world = QuotaWorld(limits, seed=seed)
        await world.start()

        async def act_later() -> None:
            await asyncio.sleep(_FAULT_AT_S)
            await act(world)

        world.start_task(act_later())
        await world.call_all(lasts_s, shares)
        await world.stop()
        return world

    return run_in_virtual_time(play())


def _refused(world: QuotaWorld, kind: str = '') -> float:
    """Return the mean refused share of the calm workspaces of a kind."""
    shares = [
        world.refused_share(name) for name in _CALM if name.startswith(kind)
    ]
    return sum(shares) / len(shares)


@pytest.mark.parametrize('seed', range(3))
def test_usual_demand_is_refused_only_by_the_bucket(seed: int) -> None:
    """Without the tolerated debt, 0.09 of small workspaces' was refused."""
    limits = {f'small{number}': SMALL for number in range(8)}
    world = _play({}, lasts_s=60, seed=seed, limits=limits)
    assert_that(world.largest_use_of_all(), LessThan(1))
    refused = [world.refused_share(name) for name in limits]
    assert_that(sum(refused) / len(refused), LessThan(0.025))
    for name in limits:
        assert_that(
            world.refused_share(name),
            LessThan(world.ideal_refused_share(name) + 0.001),
        )
    assert_that([one for one in world.outcomes if one.is_alone], Equals([]))


def test_usual_demand_of_larger_workspaces_is_not_refused() -> None:
    world = _play({})
    for name in LIMITS:
        if not name.startswith('small'):
            assert_that(world.refused_share(name), LessThan(0.01))


@pytest.mark.parametrize(
    ('name', 'factor'),
    [
        ('large0', 3.5),
        ('large0', 7.5),
        ('middle0', 6.0),
        ('small0', 3.5),
        ('small0', 7.5),
    ],
)
def test_surge_of_one_workspace_gets_its_limit_and_costs_no_other(
    name: str, factor: float
) -> None:
    """Without a limit it gets 1.9 to 4.1 times the limit."""
    world = _play({name: USUAL * factor}, lasts_s=12)
    assert_that(world.largest_use(name), LessThan(1))
    served = world.admitted_per_s(name, 2, 12) / LIMITS[name].per_s
    assert_that(served, GreaterThan(0.93))
    assert_that(served, LessThan(1.1))
    for other in LIMITS:
        if other != name:
            assert_that(
                world.refused_share(other),
                LessThan(world.ideal_refused_share(other) + 0.001),
            )


def test_refused_callers_are_told_different_times() -> None:
    """Equal times would bring all callers back at once."""
    world = _play(_SURGES, lasts_s=8)
    told = [
        one.retry_after_s
        for one in world.list_outcomes('large0')
        if one.retry_after_s is not None
    ]
    assert_that(min(told), GreaterThan(0))
    assert_that(len(set(told)), GreaterThan(0.9 * len(told)))


@pytest.mark.parametrize('shares', _DEMANDS)
def test_limit_is_kept_while_messages_are_lost(
    shares: Mapping[str, float],
) -> None:
    async def lose(world: QuotaWorld) -> None:
        world.network.loss = 0.1

    world = _play(shares, lose)
    assert_that(world.largest_use_of_all(), LessThan(1))
    assert_that(_refused(world), LessThan(0.03))


@pytest.mark.parametrize('shares', _DEMANDS)
def test_limit_is_kept_while_messages_arrive_twice(
    shares: Mapping[str, float], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A message that arrives again must neither cost nor create credit."""

    async def repeat(world: QuotaWorld) -> None:
        send = world.network.send

        def send_twice(
            source: str, peer: str, channel: object, payload: bytes
        ) -> None:
            send(source, peer, channel, payload)  # type: ignore[arg-type]
            send(source, peer, channel, payload)  # type: ignore[arg-type]

        monkeypatch.setattr(world.network, 'send', send_twice)

    plain = _play(shares)
    world = _play(shares, repeat)
    assert_that(world.largest_use_of_all(), LessThan(1))
    assert_that(_refused(world), LessThan(_refused(plain) + 0.01))


def test_controller_that_was_paused_past_its_term_grants_nothing() -> None:
    """Another VM leads by then, and has granted the whole limit."""

    async def pause(world: QuotaWorld) -> None:
        former = world.controllers['c1']
        world.network.pause('c1')
        await asyncio.sleep(3)
        world.start_controller('c2', 2)
        await asyncio.sleep(1)
        held = len(world.network.held_messages['c1'])
        assert_that(held, GreaterThan(20))
        grants = len(former.server.book.grants)
        sent = world.network.transports['c1'].counts
        before = sent.sent_messages
        world.network.resume('c1')
        await asyncio.sleep(0.1)
        assert_that(len(former.server.book.grants), Equals(grants))
        assert_that(sent.sent_messages, Equals(before))

    world = _play(_SURGES, pause)
    assert_that(world.largest_use_of_all(), LessThan(1))


@pytest.mark.parametrize('shares', _DEMANDS)
def test_limit_is_kept_while_the_controller_pauses_within_its_term(
    shares: Mapping[str, float],
) -> None:
    """Late credit counts for the requests that were admitted meanwhile."""

    async def pause(world: QuotaWorld) -> None:
        for _ in range(4):
            world.network.pause('c1')
            await asyncio.sleep(0.7)
            world.network.resume('c1')
            await asyncio.sleep(0.3)

    world = _play(shares, pause)
    assert_that(world.largest_use_of_all(), LessThan(1))
    assert_that(_refused(world), LessThan(0.05))


@pytest.mark.parametrize('shares', _DEMANDS)
@pytest.mark.parametrize('times', [1, 2])
def test_limit_is_kept_when_the_controller_is_replaced(
    shares: Mapping[str, float], times: int
) -> None:
    """The new one knows nothing of what the last one granted."""

    async def replace(world: QuotaWorld) -> None:
        for number in range(1, times + 1):
            world.network.down_vms.add(f'c{number}')
            await asyncio.sleep(1.5)
            world.announce_leader('')
            await asyncio.sleep(0.5)
            world.start_controller(f'c{number + 1}', number + 1)
            await asyncio.sleep(1)

    world = _play(shares, replace)
    assert_that(world.largest_use_of_all(), LessThan(1))
    assert_that(_refused(world), LessThan(0.03 * times))


@pytest.mark.parametrize('shares', _DEMANDS)
@pytest.mark.parametrize('cut', ['both', 'to_controller', 'from_controller'])
@pytest.mark.parametrize('count', [20, 40])
def test_limit_is_kept_by_entries_on_both_sides_of_a_partition(
    shares: Mapping[str, float], cut: str, count: int
) -> None:
    """The controller leaves entries that it does not hear their share."""

    async def partition(world: QuotaWorld) -> None:
        apart = world.entries[:count]
        ways = {(one, 'c1') for one in apart if cut != 'from_controller'}
        ways |= {('c1', one) for one in apart if cut != 'to_controller'}
        world.network.blocked_ways |= ways
        await asyncio.sleep(10)
        world.network.blocked_ways.clear()

    world = _play(shares, partition)
    assert_that(world.largest_use_of_all(), LessThan(1))
    assert_that(_refused(world), LessThan(0.08))


def test_entries_that_die_with_credit_cost_it_for_its_term_only() -> None:
    """Nobody returns what they held; demand then comes to the others."""

    async def kill(world: QuotaWorld) -> None:
        world.down.update(world.entries[:20])
        for name in world.entries[:20]:
            world.network.down_vms.add(name)

    async def call(world: QuotaWorld) -> None:
        await kill(world)
        await asyncio.gather(
            *(
                world.call(name, USUAL * 20 / 65, 14, world.entries[20:])
                for name in LIMITS
            )
        )

    world = _play({}, call)
    assert_that(world.largest_use_of_all(), LessThan(1))
    assert_that(_refused(world, 'large'), LessThan(0.01))
    assert_that(_refused(world, 'middle'), LessThan(0.03))


@pytest.mark.parametrize('shares', _DEMANDS)
def test_limit_is_kept_when_dozens_of_entries_join(
    shares: Mapping[str, float],
) -> None:
    """They know neither the demand nor an answer of the controller."""

    async def join(world: QuotaWorld) -> None:
        for name in world.entries[:48]:
            world.restart_entry(name)

    world = _play(shares, join)
    assert_that(world.largest_use_of_all(), LessThan(1))
    assert_that(_refused(world), LessThan(0.02))


def test_demand_at_one_entry_and_then_at_another_gets_the_limit() -> None:
    """Credit that one entry holds must not be missing at the next one."""

    async def play() -> QuotaWorld:
        world = QuotaWorld({'large0': LARGE}, seed=1)
        await world.start()
        await asyncio.sleep(1)
        for name in ('e0', 'e1', 'e2'):
            await world.call('large0', 2.0, 5, [name])
        await asyncio.sleep(0.5)
        await world.stop()
        return world

    world = run_in_virtual_time(play())
    assert_that(world.largest_use('large0'), LessThan(1))
    served = world.admitted_per_s('large0', 2, 15) / LARGE.per_s
    assert_that(served, GreaterThan(0.97))


def test_usual_demand_at_one_entry_is_not_refused() -> None:
    async def play() -> QuotaWorld:
        world = QuotaWorld({'large0': LARGE}, seed=1)
        await world.start()
        await asyncio.sleep(1)
        for name in ('e0', 'e1', 'e2'):
            await world.call('large0', USUAL, 5, [name])
        await asyncio.sleep(0.5)
        await world.stop()
        return world

    world = run_in_virtual_time(play())
    assert_that(world.refused_share('large0'), LessThan(0.001))
    # Credit is prefetched, so that not every request waits for a reply.
    asked = len(world.controllers['c1'].requests)
    assert_that(asked, LessThan(0.6 * len(world.outcomes)))


def test_limit_lowered_far_below_the_demand_is_kept() -> None:
    lowered = WorkspaceLimit(per_s=8000, burst=8000, counts_tokens=True)

    async def lower(world: QuotaWorld) -> None:
        world.change_limits({**LIMITS, 'large0': lowered})

    world = _play({}, lower, lasts_s=24)
    # Two seconds after the change no grant of before can be spent.
    assert_that(world.largest_use('large0', _FAULT_AT_S), LessThan(1))
    served = world.admitted_per_s('large0', 10, 24) / lowered.per_s
    assert_that(served, GreaterThan(0.93))


@pytest.mark.parametrize('is_removed', [False, True])
def test_limit_that_is_raised_or_removed_applies_at_once(
    is_removed: bool,
) -> None:
    async def change(world: QuotaWorld) -> None:
        raised: dict[str, WorkspaceLimit] = {**LIMITS, 'middle0': LARGE}
        if is_removed:
            raised.pop('middle0')
        world.change_limits(raised)

    world = _play({'middle0': USUAL * 6}, change)
    demand = USUAL * 6 * LIMITS['middle0'].per_s
    served = world.admitted_per_s('middle0', _FAULT_AT_S + 0.2, 20)
    assert_that(served, GreaterThan(0.9 * demand))


def test_requests_larger_than_the_burst_get_the_limit() -> None:
    """They need a full bucket, and smaller ones must not keep it empty."""
    limits = {'small0': SMALL}

    async def play() -> QuotaWorld:
        world = QuotaWorld(limits, seed=1)
        await world.start()
        await world.call('small0', 0.55, 60, sizes=(6000,))
        await asyncio.sleep(0.5)
        await world.stop()
        return world

    world = run_in_virtual_time(play())
    assert_that(world.largest_use('small0'), LessThan(1))
    served = world.admitted_per_s('small0', 2, 60) / SMALL.per_s
    assert_that(served, GreaterThan(0.35))


def test_limit_of_requests_is_kept() -> None:
    """The tolerance in tokens does not apply to it."""
    counted = WorkspaceLimit(per_s=20, burst=20)
    world = _play({'counted': 4.0}, limits={'counted': counted}, lasts_s=20)
    assert_that(world.largest_use('counted'), LessThan(1))
    served = world.admitted_per_s('counted', 2, 20) / counted.per_s
    assert_that(served, GreaterThan(0.95))


@pytest.mark.parametrize('shares', _DEMANDS)
def test_entries_serve_on_when_the_controller_stops_replying(
    shares: Mapping[str, float],
) -> None:
    """Usual demand is served for the most part, and a surge is bounded."""

    async def stop_replying(world: QuotaWorld) -> None:
        world.controllers['c1'].node.is_leader = False

    world = _play(shares, stop_replying)
    assert_that(world.largest_use_of_all(), LessThan(1))
    assert_that(_refused(world), LessThan(0.2))
    waited = [
        one.ended_at - one.arrived_at for one in world.outcomes if one.is_alone
    ]
    # One request in a quarter of a second waits for a reply.
    assert_that(max(waited), LessThan(0.6))
    assert_that(sum(waited) / len(waited), LessThan(0.16))


def test_controller_of_an_older_build_is_as_one_that_is_unreachable() -> None:
    """It drops the messages, so that no entry ever gets a reply."""

    async def play() -> QuotaWorld:
        world = QuotaWorld(seed=1)
        await world.start()
        world.controllers['c1'].node.is_leader = False
        await world.call_all(20)
        await world.stop()
        return world

    world = run_in_virtual_time(play())
    assert_that(world.largest_use_of_all(), LessThan(1))
    assert_that(_refused(world), LessThan(0.3))
    assert_that(
        {one.is_alone for one in world.outcomes if one.is_admitted},
        Equals({True}),
    )
