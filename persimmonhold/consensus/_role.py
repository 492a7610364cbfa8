"""Roles of a replica in the election protocol."""

import enum
from typing import final


@final
@enum.unique
class Role(enum.StrEnum):
    """The role of a replica in its current term.

    A pre-candidate asks for pre-votes, a candidate for votes.
    """

    follower = 'follower'
    pre_candidate = 'pre_candidate'
    candidate = 'candidate'
    leader = 'leader'
