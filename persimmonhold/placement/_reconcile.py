"""Reconciles recorded copies with the inventory of an engine.

Invariant: an item that an outstanding order targets is left unchanged; the
evaluation of that order decides on it.
"""

from collections.abc import Collection, Iterable, Iterator

import msgspec

from persimmonhold.catalogue import AdapterEntry, Catalogue, ModelEntry
from persimmonhold.messages import Copy, CopyState, HeldItem, Residency
from persimmonhold.placement._commit_copy import CommitCopy
from persimmonhold.placement._commit_intent import CommitIntent
from persimmonhold.placement._copy_key import CopyKey, copy_key
from persimmonhold.placement._engine_watch import EngineWatch
from persimmonhold.placement._order_factory import create_unload_order


def reconcile_copies(
    copies: Iterable[Copy],
    watch: EngineWatch,
    ordered_copy_keys: Collection[CopyKey],
) -> Iterator[CommitCopy]:
    """Yield changes of recorded copies that the inventory contradicts.

    `ordered_copy_keys` names the copies with an outstanding order; these copies
    are skipped.
    """
    for copy in copies:
        if copy_key(copy) not in ordered_copy_keys:
            yield from _reconcile_copy(copy, watch)


def reconcile_unrecorded_items(
    catalogue: Catalogue,
    watch: EngineWatch,
    accounted_copy_keys: Collection[CopyKey],
) -> Iterator[CommitCopy | CommitIntent]:
    """Record or unload ready items that no copy or order accounts for.

    `accounted_copy_keys` names the copies that are recorded or ordered. Items
    of a catalogued target are recorded as copies, also if their version is not
    the catalogued one: it may be the only version that serves. Such copies are
    then retired like any copy of an older version. All other items are
    unloaded.
    """
    for held in watch.held_items.values():
        key = (held.target, held.version, watch.upstream, held.accelerator)
        if key in accounted_copy_keys or held.residency is not Residency.ready:
            continue
        copy = _create_copy_of_item(catalogue, watch.upstream, held)
        entry = catalogue.find(held.target)
        if isinstance(entry, (ModelEntry, AdapterEntry)):
            yield CommitCopy(copy, 'found in the engine inventory')
        else:
            yield CommitIntent(
                create_unload_order(copy), 'not in the catalogue'
            )


def with_state(copy: Copy, state: CopyState) -> Copy:
    """Return a record of the same copy with another state."""
    return msgspec.structs.replace(copy, state=state)


def _reconcile_copy(copy: Copy, watch: EngineWatch) -> Iterator[CommitCopy]:
    held = watch.held_items.get((copy.target, copy.version, copy.accelerator))
    if held is None:
        yield CommitCopy(copy, 'missing from the engine inventory', gone=True)
        return
    is_ready = held.residency is Residency.ready
    if is_ready and copy.state is CopyState.loading:
        yield CommitCopy(with_state(copy, CopyState.serving), 'ready')
    if not is_ready and copy.state is CopyState.serving:
        yield CommitCopy(with_state(copy, CopyState.loading), 'not ready')


def _create_copy_of_item(
    catalogue: Catalogue, upstream: str, held: HeldItem
) -> Copy:
    entry = catalogue.find(held.target)
    return Copy(
        target=held.target,
        version=held.version,
        upstream=upstream,
        accelerator=held.accelerator,
        state=CopyState.serving,
        fence=held.fence,
        memory_bytes=held.memory_bytes,
        base=entry.base if isinstance(entry, AdapterEntry) else '',
    )
