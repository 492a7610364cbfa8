"""Judges from inventory whether an order can still have an effect.

Invariant: an order ends on an inventory whose reading began after its last
attempt was closed, or that shows its number as taken. Where the engine
ignores numbers, or shows nothing of an order that it may have taken, the
quarantine has to have passed before that reading as well.
"""

from persimmonhold.messages import OrderKind, OrderOutcome, Residency
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._order_progress import OrderProgress
from persimmonhold.placement._verdict import Verdict


def judge(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> Verdict | None:
    """Return what the last inventory shows, or None if nothing yet."""
    if watch.inventory is None or progress.is_open:
        return None
    if progress.order.kind is OrderKind.unload:
        return _judge_unload(progress, watch, quarantine_s)
    return _judge_load(progress, watch, quarantine_s)


def wants_barrier(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> bool:
    """Tell whether a higher number has to rule out an order."""
    if not watch.checks_fencing or progress.outcome is None:
        return False
    if progress.order.kind is OrderKind.unload:
        return False
    if watch.read_started_at < progress.closed_at + quarantine_s:
        return False
    is_absent = watch.find(progress.order) is None
    return is_absent and watch.highest_fence <= progress.order.fence


def _judge_load(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> Verdict | None:
    held = watch.find(progress.order)
    if held is None:
        return _judge_absent(progress, watch, quarantine_s)
    if held.residency is not Residency.ready:
        return None
    if not _is_taken(progress, watch, held.fence):
        return None
    if _may_repeat(progress, watch, quarantine_s):
        return Verdict(None, is_ready=True)
    return Verdict(OrderOutcome.accepted, is_ready=True)


def _judge_absent(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> Verdict | None:
    outcome = progress.outcome
    if outcome is None or watch.read_started_at < progress.answered_at:
        return None
    is_refused = outcome in {
        OrderOutcome.no_memory,
        OrderOutcome.unknown_target,
    }
    if is_refused and not progress.is_doubtful:
        return Verdict(outcome)
    if watch.read_started_at < progress.closed_at + quarantine_s:
        return None
    if watch.checks_fencing and watch.highest_fence <= progress.order.fence:
        return None
    return Verdict(OrderOutcome.no_effect)


def _judge_unload(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> Verdict | None:
    held = watch.find(progress.order)
    if held is None:
        if not _is_taken(progress, watch, 0):
            return None
        if _may_repeat(progress, watch, quarantine_s):
            return None
        return Verdict(OrderOutcome.accepted, is_gone=True)
    if progress.outcome is None:
        return None
    if watch.read_started_at < progress.closed_at + quarantine_s:
        return None
    return Verdict(OrderOutcome.no_effect)


def _is_taken(
    progress: OrderProgress,
    watch: EngineWatch,
    held_fence: int,
) -> bool:
    if watch.checks_fencing:
        return watch.highest_fence >= progress.order.fence
    if held_fence == progress.order.fence:
        return True
    if progress.outcome is None:
        return False
    return watch.read_started_at >= progress.answered_at


def _may_repeat(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> bool:
    if watch.checks_fencing or not progress.is_doubtful:
        return False
    return watch.read_started_at < progress.closed_at + quarantine_s
