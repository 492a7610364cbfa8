"""Checks the invariants of the dispatcher under any order of events."""

from collections import Counter
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    HasLength,
    Is,
    LessThan,
    Not,
)

from persimmonhold.admission import (
    AdmissionRequest,
    Dispatch,
    DispatchAction,
    Dispatcher,
    DispatcherSettings,
    Preempt,
    Refuse,
    RetryReason,
)
from persimmonhold.catalogue import Limits, ServiceClass
from persimmonhold.failures import Ran
from persimmonhold.routing import AttemptOutcome
from tests.routing_builders import report, router_over, view_of

_LIMITS = Limits(
    concurrent_requests=20,
    caller_concurrent_requests=9,
    owner_concurrent_requests=18,
)
_SETTINGS = DispatcherSettings(
    queue_requests=5,
    queue_tokens=3000,
    max_callers=2,
    caller_buckets=2,
    retry_burst=3,
    batch_aging_s=1,
    dispatches_per_promotion=3,
)
_WHOLE = view_of(3, {'m': (0, 1), 'n': (1, 2)}, replicas=2)
_VIEWS = (
    _WHOLE,
    view_of(3, {'m': (0,), 'n': (1, 2)}, replicas=2),
    view_of(2, {'m': (1,)}, replicas=1),
    view_of(3, {'m': (), 'n': (2,)}),
)
_ENGINES = st.sampled_from(('e0', 'e1', 'e2', 'status-0'))


class DispatcherMachine(RuleBasedStateMachine):
    """Models the state of every request alongside the dispatcher."""

    @initialize(seed=st.integers(0, 100))
    def start(self, seed: int) -> None:
        """Create an idle dispatcher."""
        self.now = 10.0
        self.router = router_over(_WHOLE, seed)
        self.dispatcher = Dispatcher(self.router, _SETTINGS, Random(seed))
        self.requests: dict[str, AdmissionRequest] = {}
        self.waiting: set[str] = set()
        self.running: dict[str, str] = {}
        self.stopping: set[str] = set()
        self.excluded: dict[str, set[str]] = {}
        self.uncertain: set[str] = set()
        self.unreachable: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.retries = 0
        self.successes = 0
        self.preempted = 0

    @rule(
        service_class=st.sampled_from(ServiceClass),
        caller=st.sampled_from('abcd'),
        wanted=st.sampled_from(('m', 'n', 'status')),
        seconds=st.floats(0.01, 20),
        tokens=st.integers(0, 900),
        idempotent=st.booleans(),
        count=st.integers(1, 6),
    )
    def arrive(
        self,
        service_class: ServiceClass,
        caller: str,
        wanted: str,
        seconds: float,
        tokens: int,
        idempotent: bool,
        count: int,
    ) -> None:
        """Submit new requests."""
        for _ in range(count):
            request = AdmissionRequest(
                request_id=f'r{len(self.requests)}',
                caller=caller,
                owner=f'owner of {wanted}',
                target=wanted,
                service_class=service_class,
                deadline=self.now + seconds,
                prompt_tokens=tokens,
                output_tokens=10,
                is_idempotent=idempotent,
                is_service=wanted == 'status',
                limits=_LIMITS,
            )
            self.requests[request.request_id] = request
            self.waiting.add(request.request_id)
            self.excluded[request.request_id] = set()
            self.perform(self.dispatcher.submit(request, self.now))

    @rule(seconds=st.floats(0, 3))
    def advance(self, seconds: float) -> None:
        """Advance the clock; no request waits beyond its deadline."""
        self.now += seconds
        self.perform(self.dispatcher.tick(self.now))
        late = {
            request_id
            for request_id in self.waiting
            if self.requests[request_id].deadline <= self.now
        }
        assert_that(late, HasLength(0))

    @precondition(lambda machine: machine.running)
    @rule(choice=st.randoms(use_true_random=False))
    def see_first_token(self, choice: Random) -> None:
        """Record the first token of a running request."""
        request_id = choice.choice(sorted(self.running))
        self.dispatcher.record_first_token(request_id, self.now)

    @precondition(lambda machine: machine.running)
    @rule(
        choice=st.randoms(use_true_random=False),
        outcome=st.sampled_from(AttemptOutcome),
    )
    def end(self, choice: Random, outcome: AttemptOutcome) -> None:
        """End a running request."""
        request_id = choice.choice(sorted(self.running))
        self.remove_request(request_id)
        self.successes += outcome is AttemptOutcome.completed
        self.perform(self.dispatcher.end_request(request_id, outcome, self.now))

    @precondition(lambda machine: machine.running)
    @rule(
        choice=st.randoms(use_true_random=False),
        reason=st.sampled_from(RetryReason),
    )
    def retry(self, choice: Random, reason: RetryReason) -> None:
        """Fail an attempt and ask for a retry."""
        request_id = choice.choice(sorted(self.running))
        upstream = self.running.pop(request_id)
        self.stopping.discard(request_id)
        self.waiting.add(request_id)
        self.excluded[request_id].add(upstream)
        if not reason.is_certainly_not_run:
            self.uncertain.add(request_id)
        actions = self.dispatcher.retry_request(
            request_id,
            upstream,
            reason,
            self.now,
        )
        refused = [
            action.request_id
            for action in actions
            if isinstance(action, Refuse)
        ]
        self.retries += request_id not in refused
        self.perform(actions)

    @precondition(lambda machine: machine.stopping)
    @rule(choice=st.randoms(use_true_random=False))
    def resume(self, choice: Random) -> None:
        """Requeue a preempted request."""
        request_id = choice.choice(sorted(self.stopping))
        self.stopping.remove(request_id)
        self.running.pop(request_id)
        self.waiting.add(request_id)
        self.perform(self.dispatcher.requeue_preempted(request_id, 3, self.now))

    @precondition(lambda machine: machine.requests)
    @rule(choice=st.randoms(use_true_random=False))
    def abandon(self, choice: Random) -> None:
        """Abandon any request, known or already ended."""
        request_id = choice.choice(sorted(self.requests))
        if request_id in self.waiting or request_id in self.running:
            self.remove_request(request_id)
        self.perform(self.dispatcher.abandon_request(request_id, self.now))

    @rule(number=st.integers(0, len(_VIEWS) - 1))
    def change_view(self, number: int) -> None:
        """Make the router adopt another view."""
        self.router.apply_view(_VIEWS[number], self.now)
        known = self.router.upstream_states
        self.leaving = {name for name in known if known[name].health.is_leaving}
        self.unreachable = {
            name: until
            for name, until in self.unreachable.items()
            if name in known
        }
        self.perform(self.dispatcher.handle_view_change(self.now))

    @rule(
        upstream=_ENGINES,
        running=st.integers(0, 5),
        waiting=st.integers(0, 5),
        age_ms=st.floats(0, 2000),
    )
    def report(
        self,
        upstream: str,
        running: int,
        waiting: int,
        age_ms: float,
    ) -> None:
        """Observe a load report, which may be wrong."""
        load = report(running, waiting, age_ms=age_ms)
        self.router.apply_load_report(upstream, load, self.now)
        self.perform(self.dispatcher.tick(self.now))

    @rule(upstream=_ENGINES, leaving=st.booleans())
    def leave(self, upstream: str, leaving: bool) -> None:
        """Observe in the VM list whether an upstream is leaving."""
        self.router.set_leaving_in_vm_list(upstream, leaving, self.now)
        if leaving and upstream in self.router.upstream_states:
            self.leaving.add(upstream)
        else:
            self.leaving.discard(upstream)

    @rule(upstream=_ENGINES)
    def refuse_connection(self, upstream: str) -> None:
        """Observe a refused connection; the upstream is avoided for 1 s."""
        self.router.record_refused_connection(upstream, self.now)
        is_known = upstream in self.router.upstream_states
        if is_known and self.now >= self.unreachable.get(upstream, 0):
            self.unreachable[upstream] = self.now + 1

    @invariant()
    def nothing_leaks(self) -> None:
        """Every request is counted exactly once."""
        depth = self.dispatcher.queue_depths()
        in_flight = self.dispatcher.in_flight_counts()
        assert_that(sum(depth.values()), Equals(len(self.waiting)))
        assert_that(sum(in_flight.values()), Equals(len(self.running)))
        counted = sum(
            state.load.in_flight
            for state in self.router.upstream_states.values()
        )
        assert_that(counted, Not(LessThan(0)))

    @invariant()
    def bounds_hold(self) -> None:
        """Queues, limits and retries stay within their bounds."""
        for waiting in self.dispatcher.queue_depths().values():
            assert_that(waiting, LessThan(_SETTINGS.queue_requests + 1))
        alive = [self.requests[name] for name in (*self.waiting, *self.running)]
        by_owner = Counter(request.owner for request in alive)
        by_caller = Counter(
            (request.target, request.caller) for request in alive
        )
        assert_that(max(by_owner.values(), default=0), LessThan(19))
        assert_that(max(by_caller.values(), default=0), LessThan(10))
        permitted = 3 + 0.1 * self.successes
        assert_that(self.retries, LessThan(permitted + 1e-9))

    @invariant()
    def a_wakeup_is_due(self) -> None:
        """While requests wait, a wake-up is due within 50 ms."""
        if self.waiting:
            wakeup = self.dispatcher.next_wakeup()
            assert wakeup is not None
            assert_that(wakeup, LessThan(self.now + 0.051))

    def teardown(self) -> None:
        """Abandon all requests; none is left in flight."""
        for request_id in (*self.waiting, *self.running):
            if request_id in self.waiting or request_id in self.running:
                self.remove_request(request_id)
                self.perform(
                    self.dispatcher.abandon_request(request_id, self.now)
                )
        if hasattr(self, 'dispatcher'):
            assert_that(
                sum(self.dispatcher.in_flight_counts().values()), Equals(0)
            )

    def remove_request(self, request_id: str) -> None:
        """Remove a request from the model."""
        self.waiting.discard(request_id)
        self.stopping.discard(request_id)
        self.running.pop(request_id, None)

    def perform(self, actions: tuple[DispatchAction, ...]) -> None:
        """Check actions and apply them to the model."""
        for action in actions:
            if isinstance(action, Dispatch):
                self.check_dispatch(action)
            elif isinstance(action, Refuse):
                self.check_refusal(action)
            else:
                self.check_preemption(action)

    def check_dispatch(self, action: Dispatch) -> None:
        """Check that a waiting request is sent to a permitted upstream."""
        request_id = action.request_id
        upstream = action.route.upstream
        assert_that(self.waiting, Contains(request_id))
        assert_that(self.excluded[request_id], Not(Contains(upstream)))
        assert_that(self.leaving, Not(Contains(upstream)))
        reachable_at = self.unreachable.get(upstream, 0)
        assert_that(self.now < reachable_at, Is(False))
        request = self.requests[request_id]
        sites = self.router.endpoint_index.endpoints_by_target[request.target]
        holders = {site.upstream.name for site in sites}
        assert_that(holders, Contains(upstream))
        if request_id in self.uncertain:
            assert_that(request.is_idempotent, Is(True))
        self.waiting.remove(request_id)
        self.running[request_id] = upstream

    def check_refusal(self, action: Refuse) -> None:
        """Check that a waiting request is refused with the right `ran`."""
        assert_that(self.waiting, Contains(action.request_id))
        self.waiting.remove(action.request_id)
        is_certain = action.request_id not in self.uncertain
        ran = Ran.no if is_certain else Ran.unknown
        assert_that(action.refusal.ran, Equals(ran))

    def check_preemption(self, action: Preempt) -> None:
        """Check that a running batch request is preempted only once."""
        request_id = action.request_id
        assert_that(self.running, Contains(request_id))
        assert_that(self.stopping, Not(Contains(request_id)))
        request = self.requests[request_id]
        assert_that(request.service_class, Equals(ServiceClass.batch))
        self.stopping.add(request_id)


TestDispatcher = DispatcherMachine.TestCase
TestDispatcher.settings = settings(max_examples=300, stateful_step_count=50)
