"""A place for a new copy and the copies to evict from it first."""

from typing import NamedTuple, final

from persimmonhold.placement._place import Place


@final
class CandidatePlace(NamedTuple):
    """A place where a new copy of a model can be loaded.

    `evicted` names the models whose copies there have to be evicted;
    `lost_work` is the part of the work of these copies, in busy accelerators,
    that the other copies of the same models could not absorb.
    """

    place: Place
    evicted: tuple[str, ...] = ()
    lost_work: float = 0
