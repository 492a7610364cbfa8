"""Plans missing copies and spreads copies over failure domains."""

from collections.abc import Iterator

from persimmonhold.catalogue import ModelEntry
from persimmonhold.placement._move_planner import MovePlanner
from persimmonhold.placement._plan_context import PlanContext


def find_under_replicated_models(context: PlanContext) -> Iterator[ModelEntry]:
    """Yield the models that have fewer current copies than required."""
    for model in context.models:
        holders = context.layout.holders.get(model.name, ())
        if len(holders) < _count_required_copies(context, model):
            yield model


def _count_required_copies(context: PlanContext, model: ModelEntry) -> int:
    """Return how many copies of the catalogued version a model needs.

    This is the configured minimum or, if larger, the number of serving copies
    of other versions, since each of them is to be replaced.
    """
    older = context.layout.serving_copies_of_other_versions(model.name)
    return max(model.limits.min_copies, len(older))


def plan_missing_copies(move_planner: MovePlanner) -> None:
    """Plan loads of missing copies, of models with the fewest copies first.

    Among models with equally many copies, those with more expected work, then
    larger ones, go first.
    """
    context = move_planner.context
    missing = sorted(
        find_under_replicated_models(context),
        key=lambda model: (
            len(context.layout.holders.get(model.name, ())),
            -context.expected_work.get(model.name, 0),
            -context.size_bytes(model.name),
            model.name,
        ),
    )
    for model in missing:
        _plan_missing_copy(move_planner, model)


def plan_base_copies_for_adapters(move_planner: MovePlanner) -> None:
    """Plan one more copy of base models whose adapters have no memory.

    An adapter has no memory if all copies of its base model serve, but the
    adapter has no copy, not even a planned one. With the new copy of the base
    model, memory for all of its adapters is reserved.
    """
    context = move_planner.context
    layout = context.layout
    for base, adapters in context.adapters_by_base.items():
        unplaced = [
            adapter.name
            for adapter in adapters
            if not layout.holders.get(adapter.name)
        ]
        serving = layout.serving.get(base)
        if not unplaced or not serving or layout.holders[base] - serving:
            continue
        entry = context.catalogue.find(base)
        if isinstance(entry, ModelEntry):
            _plan_base_copy(move_planner, entry, unplaced[0])


def plan_domain_spread(move_planner: MovePlanner) -> None:
    """Plan a copy in a second failure domain for models in only one.

    Only free memory is used; nothing is evicted.
    """
    context = move_planner.context
    if len(set(context.layout.domain_by_upstream.values())) < 2:
        return
    finder = move_planner.create_finder(())
    for model in context.models:
        if context.limits.remaining_loads <= 0:
            return
        if not _is_in_one_domain(context, model):
            continue
        candidate = finder.find_free_place(model, spread=True)
        if candidate and not context.layout.count_copies_in_domain(
            model.name, candidate.place
        ):
            move_planner.plan_load(
                model, candidate, 'all copies are in one failure domain'
            )


def _is_in_one_domain(context: PlanContext, model: ModelEntry) -> bool:
    if model.limits.max_copies == 1:
        return False
    return context.layout.count_domains(model.name) == 1


def _plan_base_copy(
    move_planner: MovePlanner, base: ModelEntry, adapter: str
) -> None:
    candidate = move_planner.find_place(
        base, move_planner.create_finder(()), spread=True
    )
    if candidate is None:
        move_planner.record_blocked(
            adapter, 'no memory next to its base model or elsewhere'
        )
    else:
        move_planner.plan_load(
            base, candidate, f'no memory for {adapter} next to its base model'
        )


def _plan_missing_copy(move_planner: MovePlanner, model: ModelEntry) -> None:
    context = move_planner.context
    finder = move_planner.create_finder(())
    candidate = move_planner.find_place(model, finder, spread=True)
    if candidate is not None:
        move_planner.plan_load(
            model, candidate, 'has fewer copies than required'
        )
        return
    if context.limits.remaining_loads <= 0:
        move_planner.record_blocked(
            model.name, 'no free load slot at the weight store'
        )
        return
    if context.layout.has_loading_copies:
        move_planner.record_blocked(model.name, 'waits for loads in progress')
        return
    relocated = finder.find_relocation(model)
    if relocated is None:
        move_planner.record_blocked(
            model.name, 'no accelerator can free enough memory'
        )
        return
    other, elsewhere = relocated
    move_planner.plan_load(
        other, elsewhere, f'moves to free memory for {model.name}'
    )
    move_planner.record_blocked(
        model.name, f'waits until {other.name} has moved'
    )
