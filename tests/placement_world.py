"""Simulated engines, network and control log for placement tests.

Engines use the memory model of the stand-in, which records every overcommit;
the log is the control state machine; a message stays in the network until a
test delivers or drops it.
"""

import zlib
from typing import NamedTuple, TypeAlias

import msgspec

from persimmonhold.catalogue import (
    Accelerator,
    AdapterEntry,
    CatalogueEntry,
    ModelEntry,
    UpstreamEntry,
)
from persimmonhold.control.machine import (
    Command,
    ControlStateMachine,
    PutEntry,
    RecordCopy,
    RecordIntent,
    RecordOrderEnd,
)
from persimmonhold.messages import (
    Copy,
    CopyState,
    Demand,
    LoadReport,
    Order,
    OrderKind,
    Residency,
)
from persimmonhold.placement import (
    Action,
    CommitCopy,
    CommitIntent,
    CommitOrderEnd,
    PlacementLeader,
    PlacementState,
    ReadInventory,
    SendOrder,
)
from persimmonhold.settings import PlacementSettings
from persimmonhold.standin import EngineMemory

CopyKey: TypeAlias = tuple[str, str, str, str]
QUARANTINE_S = 5.0
LOAD_S = 1.0
SETTINGS = PlacementSettings(
    quarantine_s=QUARANTINE_S,
    move_cost=0.2,
    loads_at_once=2,
    loads_per_second=2,
)


class Message(NamedTuple):
    """An order in transit, sent by one leadership."""

    order: Order
    leadership: int
    sent_at: float


class FakeEngine:
    """An engine that works only when a test tells it to."""

    def __init__(self, entry: UpstreamEntry) -> None:
        self.capacity = {
            accelerator.name: accelerator.memory_bytes
            for accelerator in entry.accelerators
        }
        self.checks_fencing = entry.checks_fencing
        self.boots = 0
        self.is_up = True
        self.disturbed_at = -1.0
        self.started_fences: set[int] = set()
        self.accepted_orders: list[tuple[Order, float]] = []
        self.memory = self.boot()

    def boot(self) -> EngineMemory:
        """Start a new process with empty memory."""
        self.boots += 1
        memory = EngineMemory(f'boot-{self.boots}', dict(self.capacity))
        memory.checks_fencing = self.checks_fencing
        self.started_fences = set()
        self.accepted_orders = []
        return memory

    def is_serving(self, target: str) -> bool:
        """Tell whether a target is served."""
        return self.is_up and self.memory.is_serving(target)


class World:
    """The environment of the placement leader under test."""

    def __init__(self, entries: tuple[CatalogueEntry, ...]) -> None:
        self.now = 1000.0
        self.machine = ControlStateMachine()
        self.network: list[Message] = []
        self.views: list[dict[CopyKey, Copy]] = [{}]
        self.view_index = 0
        self.leadership = 0
        self.deposed_messages: list[Message] = []
        self.load_sends: list[float] = []
        self.ended: set[int] = set()
        self.is_next_commit_unconfirmed = False
        self.delayed_commits: list[Order] = []
        self.demand: dict[str, float] = {}
        self.committed_at: dict[int, float] = {}
        self.past_overcommits = 0
        for catalogued in entries:
            self.put(catalogued)
        self.engines = {
            entry.name: FakeEngine(entry)
            for entry in entries
            if isinstance(entry, UpstreamEntry)
        }
        self.leader = self.elect()

    def put(self, entry: CatalogueEntry) -> None:
        """Put a catalogue entry."""
        catalogue = self.machine.state.catalogue
        revision = catalogue.revision
        self.commit(
            PutEntry(
                operator='o',
                command_id=str(catalogue.revision),
                at_ms=0,
                expected_revision=catalogue.entry_revision(entry.name),
                entry=entry,
                reason='test',
            ),
        )
        accepted = self.machine.state.catalogue.revision
        assert accepted == revision + 1, entry.name

    def commit(self, command: Command) -> None:
        """Apply a command to the log."""
        self.machine.apply(self.machine.state.index + 1, command)
        if isinstance(command, RecordIntent):
            self.committed_at[self.machine.state.index] = self.now
        self.views.append(dict(self.machine.state.copies))

    def state(self) -> PlacementState:
        """Return the committed state."""
        state = self.machine.state
        return PlacementState(
            state.index,
            state.catalogue,
            dict(state.copies),
            dict(state.orders),
        )

    def elect(self) -> PlacementLeader:
        """Depose the leader, which may still send its outstanding orders."""
        self._apply_delayed_commits()
        self.deposed_messages = [
            Message(order, self.leadership, self.now)
            for order in self.machine.state.orders.values()
        ]
        self.leadership += 1
        self.leader = PlacementLeader(SETTINGS, self.state(), self.now)
        return self.leader

    def is_in_force(self, index: int) -> bool:
        """Tell whether every entry has applied a log index."""
        return index <= self.view_index

    def step(self, elapsed_s: float, *, lag: bool = False) -> None:
        """Advance the time and run one round of the leader."""
        self.now += elapsed_s
        self._apply_delayed_commits()
        self._expire_messages()
        for each in self.engines.values():
            if (
                each.accepted_orders
                and self.now >= each.accepted_orders[0][1] + QUARANTINE_S / 2
            ):
                self.begin(each)
        if not lag:
            self.view_index = self.machine.state.index
        self.leader.apply_state(self.state(), self.now)
        self.perform(self.leader.poll(self.is_in_force, self.now))
        self.leader.apply_state(self.state(), self.now)
        demand = tuple(
            Demand(
                target=target,
                requests_per_second=1,
                prompt_tokens_per_second=0,
                output_tokens_per_second=400 * work,
            )
            for target, work in self.demand.items()
        )
        self.perform(
            self.leader.plan_and_issue_moves(
                demand, self.is_in_force, self.now, self.now
            ),
        )

    def play_round(self, elapsed_s: float, *, lag: bool = False) -> None:
        """Run one round, deliver all messages and complete all orders."""
        self.step(elapsed_s, lag=lag)
        while self.network:
            self.deliver(0)
        for each in self.engines.values():
            self.begin(each)
            self.complete(each)

    def perform(self, actions: tuple[Action, ...]) -> None:
        """Perform the actions of the leader."""
        for action in actions:
            match action:
                case CommitIntent():
                    self._commit_intent(action)
                case CommitOrderEnd():
                    assert action.fence not in self.ended
                    self.ended.add(action.fence)
                    self.commit(
                        RecordOrderEnd(
                            at_ms=0,
                            fence=action.fence,
                            outcome=action.outcome,
                        ),
                    )
                case CommitCopy():
                    self.commit(
                        RecordCopy(
                            at_ms=0,
                            copy=action.copy,
                            gone=action.gone,
                        ),
                    )
                case SendOrder():
                    self._send(action.order)
                case ReadInventory():
                    self._read(action.upstream)

    def deliver(self, position: int, *, answers: bool = True) -> None:
        """Deliver a message to its engine, and its answer if `answers`."""
        message = self.network.pop(position)
        engine = self.engines[message.order.upstream]
        is_current = message.leadership == self.leadership
        if not engine.is_up:
            self.fail(message)
            return
        answer = engine.memory.answer_order(message.order)
        if answer.outcome.value == 'accepted':
            engine.accepted_orders.append((message.order, self.now))
            if not is_current or not engine.checks_fencing:
                self.begin(engine)
        if is_current and answers:
            self.leader.issuer.record_order_answer(
                message.order.fence,
                answer.outcome,
                self.now,
            )
        elif is_current:
            self.fail(message)

    def fail(self, message: Message) -> None:
        """Report to the leader that an attempt had no answer."""
        if message.leadership == self.leadership:
            fence = message.order.fence
            self.leader.issuer.record_order_failure(
                fence, self.now, has_sent_bytes=True
            )

    def begin(self, engine: FakeEngine) -> None:
        """Begin the work that an engine has accepted."""
        for order, _ in engine.accepted_orders:
            if order.kind is OrderKind.unload:
                self._check_unload(engine, order)
                engine.memory.complete_order(order)
            elif engine.memory.begin_order(order):
                assert order.fence not in engine.started_fences
                engine.started_fences.add(order.fence)
        engine.accepted_orders = []

    def complete(self, engine: FakeEngine) -> None:
        """Finish the loads that an engine has begun."""
        for held in tuple(engine.memory.held_items.values()):
            if held.residency is Residency.loading:
                engine.memory.complete_order(
                    Order(
                        fence=held.fence,
                        kind=OrderKind.load,
                        upstream='',
                        accelerator=held.accelerator,
                        target=held.target,
                        version=held.version,
                        memory_bytes=held.memory_bytes,
                    ),
                )

    def restart(self, name: str, *, keep: bool) -> None:
        """Restart an engine, which loses its highest fencing token.

        Connections to the former process are closed. Deposed leaders cannot
        reach an engine that keeps its memory (see the design note).
        """
        engine = self.engines[name]
        items = dict(engine.memory.held_items)
        self.past_overcommits += engine.memory.overcommitted
        engine.memory = engine.boot()
        engine.disturbed_at = self.now
        for message in tuple(self.network):
            if message.order.upstream == name:
                self.network.remove(message)
                self.fail(message)
        if keep:
            engine.memory.held_items = {
                key: msgspec.structs.replace(
                    held,
                    residency=Residency.ready,
                    fence=0,
                )
                for key, held in items.items()
            }
            self.deposed_messages = [
                sent
                for sent in self.deposed_messages
                if sent.order.upstream != name
            ]

    def count_overcommits(self) -> int:
        """Return the number of overcommits so far."""
        return self.past_overcommits + sum(
            engine.memory.overcommitted for engine in self.engines.values()
        )

    def count_model_loads_in_flight(self) -> int:
        """Count model loads in progress that belong to an outstanding order."""
        orders = self.machine.state.orders
        return sum(
            held.residency is Residency.loading
            and held.fence in orders
            and not orders[held.fence].base
            for engine in self.engines.values()
            if engine.is_up
            for held in engine.memory.held_items.values()
        )

    def serves(self, target: str) -> bool:
        """Tell whether entries reach a ready copy of a target."""
        return any(
            copy.target == target
            and copy.state is CopyState.serving
            and self.engines[copy.upstream].is_serving(target)
            for copy in self.views[self.view_index].values()
        )

    def has_converged(self) -> bool:
        """Tell whether every target serves at its version, without orders."""
        state = self.machine.state
        if state.orders:
            return False
        serving = {
            (copy.target, copy.version)
            for copy in state.copies.values()
            if copy.state is CopyState.serving
            and self.engines[copy.upstream].is_serving(copy.target)
        }
        entries: list[ModelEntry | AdapterEntry] = [
            *state.catalogue.entries_of_type(ModelEntry),
            *state.catalogue.entries_of_type(AdapterEntry),
        ]
        return all((each.name, each.version) in serving for each in entries)

    def heal(self, rounds: int) -> bool:
        """End all faults; tell whether the system converges in time."""
        self.deposed_messages = []
        self.is_next_commit_unconfirmed = False
        for engine in self.engines.values():
            engine.is_up = True
        for _ in range(rounds):
            self.play_round(1.0)
            if self.has_converged():
                return True
        return False

    def _apply_delayed_commits(self) -> None:
        for order in self.delayed_commits:
            self.commit(RecordIntent(at_ms=0, order=order))
        self.delayed_commits = []

    def _commit_intent(self, action: CommitIntent) -> None:
        if self.is_next_commit_unconfirmed:
            self.is_next_commit_unconfirmed = False
            self.leader.issuer.order_tracker.unconfirmed.append(action.order)
            self.delayed_commits.append(action.order)
            return
        self.commit(RecordIntent(at_ms=0, order=action.order))

    def _send(self, order: Order) -> None:
        assert order.fence in self.machine.state.orders
        assert order.fence == self.machine.state.orders[order.fence].fence
        if order.kind is OrderKind.load and not order.base:
            self.load_sends.append(self.now)
        self.network.append(Message(order, self.leadership, self.now))

    def _read(self, upstream: str) -> None:
        engine = self.engines[upstream]
        issuer = self.leader.issuer
        if not engine.is_up:
            issuer.record_read_failure(upstream, self.now)
            return
        issuer.record_inventory(
            upstream, engine.memory.build_inventory(), self.now
        )
        report = LoadReport(
            boot_id=engine.memory.boot_id,
            age_ms=0,
            running=0,
            waiting=0,
            slots=8,
            kv_used_fraction=0,
            prefill_tokens_per_second=8000,
            decode_step_ms=20,
        )
        self.leader.record_load_report(upstream, report, self.now)

    def _check_unload(self, engine: FakeEngine, order: Order) -> None:
        """Check that callers still reach a copy after an unload.

        A disturbance of an engine no earlier than 3 s before the commit of
        the unload excuses a missing copy.
        """
        key = (order.accelerator, order.target, order.version)
        if key not in engine.memory.held_items:
            return
        if self.machine.state.catalogue.find(order.target) is None:
            return
        others = (
            copy
            for copy in self.views[self.view_index].values()
            if copy.target == order.target
            and copy.state is CopyState.serving
            and (copy.upstream, copy.version, copy.accelerator)
            != (order.upstream, order.version, order.accelerator)
        )
        committed_at = self.committed_at.get(order.fence, self.now)
        assert any(
            self.engines[copy.upstream].is_serving(order.target)
            or self.engines[copy.upstream].disturbed_at >= committed_at - 3
            for copy in others
        ) or any(
            each.disturbed_at >= committed_at - 3
            for each in self.engines.values()
        ), f'last copy of {order.target} unloaded'

    def _expire_messages(self) -> None:
        """Drop old messages to engines that ignore fencing tokens.

        Messages live for at most half of the quarantine there.
        """
        for message in tuple(self.network):
            engine = self.engines[message.order.upstream]
            is_old = self.now >= message.sent_at + QUARANTINE_S / 2
            if is_old and not engine.checks_fencing:
                self.network.remove(message)
                self.fail(message)
        self.deposed_messages = [
            sent
            for sent in self.deposed_messages
            if self.engines[sent.order.upstream].checks_fencing
            or self.now < sent.sent_at + QUARANTINE_S / 2
        ]


def engine(
    name: str,
    domain: str,
    memory: int,
    *,
    checks_fencing: bool = True,
) -> UpstreamEntry:
    """Return an engine with one accelerator."""
    return UpstreamEntry(
        name=name,
        owner='o',
        address=f'127.0.0.1:{1 + zlib.crc32(name.encode()) % 60_000}',
        failure_domain=domain,
        accelerators=(Accelerator(name='a0', memory_bytes=memory),),
        checks_fencing=checks_fencing,
    )


def model(name: str, size: int, version: str = '1') -> ModelEntry:
    """Return a model whose KV floor takes one of its bytes."""
    return ModelEntry(
        name=name,
        owner='o',
        version=version,
        weight_bytes=size - 1,
        kv_floor_bytes=1,
    )
