"""The roles of a replica."""

import enum
from typing import final


@final
@enum.unique
class Role(enum.StrEnum):
    """What a replica does in its term."""

    follower = 'follower'
    pre_candidate = 'pre_candidate'
    candidate = 'candidate'
    leader = 'leader'
