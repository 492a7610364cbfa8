"""Gives every model the copies that are agreed for it."""

from collections.abc import Iterator

from persimmonhold.catalogue import ModelEntry
from persimmonhold.placement._move_maker import MoveMaker
from persimmonhold.placement._plan_round import PlanRound


def missing_models(planned: PlanRound) -> Iterator[ModelEntry]:
    """Yield the models that have fewer copies than agreed."""
    for model in planned.models:
        holders = planned.layout.holders.get(model.name, ())
        if len(holders) < _agreed_copies(planned, model):
            yield model


def _agreed_copies(planned: PlanRound, model: ModelEntry) -> int:
    """Return the least number of copies; an upgrade replaces all of them."""
    older = planned.layout.older_serving(model.name)
    return max(model.limits.min_copies, len(older))


def repair(maker: MoveMaker) -> None:
    """Load missing copies: models without any first, busy ones first."""
    planned = maker.planned
    missing = sorted(
        missing_models(planned),
        key=lambda model: (
            len(planned.layout.holders.get(model.name, ())),
            -planned.work.get(model.name, 0),
            -planned.size_bytes(model.name),
            model.name,
        ),
    )
    for model in missing:
        _repair_model(maker, model)


def repair_adapters(maker: MoveMaker) -> None:
    """Give a base another place where its adapters have no room."""
    planned = maker.planned
    layout = planned.layout
    for base, adapters in planned.adapters.items():
        homeless = [
            adapter.name
            for adapter in adapters
            if not layout.holders.get(adapter.name)
        ]
        serving = layout.serving.get(base)
        if not homeless or not serving or layout.holders[base] - serving:
            continue
        entry = planned.catalogue.find(base)
        if isinstance(entry, ModelEntry):
            _rehouse(maker, entry, homeless[0])


def spread(maker: MoveMaker) -> None:
    """Give models in one failure domain a copy in another, if it is free."""
    planned = maker.planned
    if len(set(planned.layout.domains.values())) < 2:
        return
    finder = maker.finder(())
    for model in planned.models:
        if planned.limits.loads <= 0:
            return
        if not _is_in_one_domain(planned, model):
            continue
        room = finder.free_room(model, spread=True)
        if room and not planned.layout.domain_count(model.name, room.place):
            maker.make(model, room, 'all copies are in one failure domain')


def _is_in_one_domain(planned: PlanRound, model: ModelEntry) -> bool:
    if model.limits.max_copies == 1:
        return False
    return planned.layout.domain_total(model.name) == 1


def _rehouse(maker: MoveMaker, base: ModelEntry, adapter: str) -> None:
    room = maker.find_room(base, maker.finder(()), spread=True)
    if room is None:
        maker.block(adapter, 'no room beside its base model or elsewhere')
    else:
        maker.make(base, room, f'no room for {adapter} beside its base')


def _repair_model(maker: MoveMaker, model: ModelEntry) -> None:
    planned = maker.planned
    finder = maker.finder(())
    room = maker.find_room(model, finder, spread=True)
    if room is not None:
        maker.make(model, room, 'has fewer copies than agreed')
        return
    if planned.limits.loads <= 0:
        maker.block(model.name, 'the weight store is busy')
        return
    if planned.layout.is_loading:
        maker.block(model.name, 'waits for the loads under way')
        return
    relocated = finder.relocation(model)
    if relocated is None:
        maker.block(model.name, 'no accelerator can make room')
        return
    other, elsewhere = relocated
    maker.make(other, elsewhere, f'moves to make room for {model.name}')
    maker.block(model.name, f'waits until {other.name} has moved')
