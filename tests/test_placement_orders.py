"""Orders, withdrawals and repair under random faults."""

from collections.abc import Callable

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from persimmonhold.catalogue import AdapterEntry
from tests.placement_world import SETTINGS, FakeEngine, World, engine, model

_NAMES = ('engine-1', 'engine-2', 'engine-3', 'engine-4')
_MODELS = ('m1', 'm2', 'm3', 'm4', 'm5')


def _entries() -> World:
    return World((
        engine('engine-1', 'd1', 100),
        engine('engine-2', 'd2', 100),
        engine('engine-3', 'd3', 100, checks_fencing=False),
        engine('engine-4', 'd3', 60),
        *(model(name, 30 + 4 * index) for index, name in enumerate(_MODELS)),
        AdapterEntry(
            name='x1',
            owner='o',
            version='1',
            base='m1',
            weight_bytes=2,
        ),
    ))


class PlacementMachine(RuleBasedStateMachine):
    """Applies faults in any order and checks the invariants at every step."""

    def __init__(self) -> None:
        super().__init__()
        self.world = _entries()
        self.versions = 1

    @rule(elapsed=st.sampled_from([0.1, 0.5, 1.0, 3.0]), lag=st.booleans())
    def run_round(self, elapsed: float, lag: bool) -> None:
        """Run one round; entries may lag behind."""
        self.world.step(elapsed, lag=lag)

    @rule(rounds=st.integers(1, 25))
    def run_calmly(self, rounds: int) -> None:
        """Run rounds without faults."""
        for _ in range(rounds):
            self.world.play_round(0.5)

    @precondition(lambda machine: machine.world.network)
    @rule(position=st.integers(0, 9), answers=st.booleans())
    def deliver(self, position: int, answers: bool) -> None:
        """Deliver any message: reordered, late, or with its answer lost."""
        count = len(self.world.network)
        self.world.deliver(position % count, answers=answers)

    @precondition(lambda machine: machine.world.network)
    @rule(position=st.integers(0, 9), arrives_later=st.booleans())
    def time_out(self, position: int, arrives_later: bool) -> None:
        """End an attempt; its message is lost or arrives later."""
        world = self.world
        message = world.network.pop(position % len(world.network))
        world.fail(message)
        if arrives_later:
            world.network.append(message._replace(leadership=-1))

    @rule(name=st.sampled_from(_NAMES), part=st.sampled_from(['all', 'begin']))
    def engine_works(self, name: str, part: str) -> None:
        """Let an engine begin, or also complete, the orders it accepted."""
        self.world.begin(self.world.engines[name])
        if part == 'all':
            self.world.complete(self.world.engines[name])

    @rule(name=st.sampled_from(_NAMES), keep=st.booleans())
    def restart(self, name: str, keep: bool) -> None:
        """Restart an engine, with empty memory or with its items kept."""
        self.world.restart(name, keep=keep)

    @rule(name=st.sampled_from(_NAMES))
    def lose_engine(self, name: str) -> None:
        """Make one engine unreachable and bring the others back."""
        for each in self.world.engines.values():
            self._bring_up(each)
        self.world.engines[name].is_up = False
        self.world.engines[name].disturbed_at = self.world.now

    @rule()
    def change_leader(self) -> None:
        """Elect another leader."""
        self.world.elect()

    @precondition(lambda machine: machine.world.deposed_messages)
    @rule(position=st.integers(0, 9))
    def deposed_leader_sends(self, position: int) -> None:
        """Let the deposed leader send one of its outstanding orders."""
        deposed = self.world.deposed_messages
        self.world.network.append(deposed[position % len(deposed)])

    @rule()
    def commit_without_answer(self) -> None:
        """Commit the next intent with an unknown result."""
        self.world.is_next_commit_unconfirmed = True

    @rule(name=st.sampled_from(_MODELS), size=st.integers(20, 40))
    def upgrade(self, name: str, size: int) -> None:
        """Put a new version of another size into the catalogue."""
        self.versions += 1
        self.world.put(model(name, size, str(self.versions)))

    @rule(name=st.sampled_from(_MODELS), work=st.sampled_from([0.0, 0.5, 2.0]))
    def shift_demand(self, name: str, work: float) -> None:
        """Change the demand for a model."""
        self.world.demand[name] = work

    @invariant()
    def memory_is_never_overcommitted(self) -> None:
        """No engine ever held more than its memory capacity."""
        assert not self.world.count_overcommits()

    @invariant()
    def weight_store_keeps_its_pace(self) -> None:
        """Loads stay within concurrency and rate limits, across leaders too."""
        assert (
            self.world.count_model_loads_in_flight() <= SETTINGS.loads_at_once
        )
        sends = self.world.load_sends
        limit = int(SETTINGS.loads_per_second)
        for first, last in zip(sends, sends[limit:], strict=False):
            assert last >= first + 1

    def teardown(self) -> None:
        """End all faults and check that the system converges."""
        assert self.world.heal(rounds=400)
        assert not self.world.count_overcommits()

    def _bring_up(self, each: FakeEngine) -> None:
        if not each.is_up:
            each.is_up = True
            each.disturbed_at = self.world.now


PlacementTest: Callable[..., object] = PlacementMachine.TestCase
PlacementMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
)
