"""Determines from an inventory whether an order can still have an effect.

Invariant: an order ends only on an inventory whose read began after the last
attempt ended, or that shows the engine has accepted the order's fencing
token. If the engine ignores fencing tokens, or shows no trace of an order
that it may have accepted, the quarantine must also have passed before that
read.
"""

from persimmonhold.messages import OrderKind, OrderOutcome, Residency
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._order_evaluation import OrderEvaluation
from persimmonhold.placement._order_progress import OrderProgress


def evaluate_order(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> OrderEvaluation | None:
    """Return what the engine's last inventory shows about an order.

    Returns None if the inventory proves nothing yet, or while an attempt to
    send the order is in progress.
    """
    if watch.inventory is None or progress.is_attempt_open:
        return None
    if progress.order.kind is OrderKind.unload:
        return _evaluate_unload(progress, watch, quarantine_s)
    return _evaluate_load(progress, watch, quarantine_s)


def is_barrier_needed(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> bool:
    """Tell whether a barrier is needed to end a load.

    A barrier is an empty order with a higher fencing token. It is needed if
    the engine has answered the load, but shows no trace of it after the
    quarantine: only the higher token then rules out a later effect.
    """
    if not watch.checks_fencing or progress.outcome is None:
        return False
    if progress.order.kind is OrderKind.unload:
        return False
    if watch.read_started_at < progress.attempt_ended_at + quarantine_s:
        return False
    is_absent = watch.find_item(progress.order) is None
    return is_absent and watch.highest_fence <= progress.order.fence


def _evaluate_load(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> OrderEvaluation | None:
    held = watch.find_item(progress.order)
    if held is None:
        return _evaluate_absent_load(progress, watch, quarantine_s)
    if held.residency is not Residency.ready:
        return None
    if not _has_reached_engine(progress, watch, held.fence):
        return None
    if _can_take_effect_again(progress, watch, quarantine_s):
        return OrderEvaluation(None, is_copy_ready=True)
    return OrderEvaluation(OrderOutcome.accepted, is_copy_ready=True)


def _evaluate_absent_load(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> OrderEvaluation | None:
    outcome = progress.outcome
    if outcome is None or watch.read_started_at < progress.answered_at:
        return None
    is_refused = outcome in {
        OrderOutcome.no_memory,
        OrderOutcome.unknown_target,
    }
    if is_refused and not progress.has_uncertain_attempt:
        return OrderEvaluation(outcome)
    if watch.read_started_at < progress.attempt_ended_at + quarantine_s:
        return None
    if watch.checks_fencing and watch.highest_fence <= progress.order.fence:
        return None
    return OrderEvaluation(OrderOutcome.no_effect)


def _evaluate_unload(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> OrderEvaluation | None:
    held = watch.find_item(progress.order)
    if held is None:
        if not _has_reached_engine(progress, watch, 0):
            return None
        if _can_take_effect_again(progress, watch, quarantine_s):
            return None
        return OrderEvaluation(OrderOutcome.accepted, is_copy_gone=True)
    if progress.outcome is None:
        return None
    if watch.read_started_at < progress.attempt_ended_at + quarantine_s:
        return None
    return OrderEvaluation(OrderOutcome.no_effect)


def _has_reached_engine(
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


def _can_take_effect_again(
    progress: OrderProgress,
    watch: EngineWatch,
    quarantine_s: float,
) -> bool:
    if watch.checks_fencing or not progress.has_uncertain_attempt:
        return False
    return watch.read_started_at < progress.attempt_ended_at + quarantine_s
