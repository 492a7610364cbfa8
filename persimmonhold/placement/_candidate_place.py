"""A place for a new copy, and what has to leave it first."""

from typing import NamedTuple, final

from persimmonhold.placement._place import Place


@final
class CandidatePlace(NamedTuple):
    """Room for a copy of a model.

    `evicted` are the models whose copies make room; `loss` is the work that
    their remaining copies could not bear.
    """

    place: Place
    evicted: tuple[str, ...] = ()
    lost_work: float = 0
