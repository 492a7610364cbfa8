"""The request limit of one upstream, as seen by one entry.

An entry learns a limit from responses, and from the fleet controller, which
merges what all entries observe. While an upstream has a limit, each request to
it needs a permit of the fleet controller, so that all entries together keep
the limit.
"""

import math
from typing import Final, final

from persimmonhold.fleet._limit_observation import LimitObservation

# After this time, updates of the fleet controller take an observation of this
# entry into account; until then the observation counts.
_CONFIRMATION_S: Final = 2.0


@final
class RequestLimitView:
    """The limit in force, and whether a permit may be requested now.

    `confirmed` is the limit in the facts of the fleet controller, dated by the
    update that brought it. `observation` is what this entry observed since;
    None if the facts include it. `asking_number` is the request that waits for
    a permit, or None. No permit is requested before `closed_until`, unless the
    limit changes.
    """

    __slots__ = ('asking_number', 'closed_until', 'confirmed', 'observation')

    def __init__(self) -> None:
        """Create the view of an upstream without a limit."""
        self.confirmed = LimitObservation(None, -math.inf, -math.inf)
        self.observation: LimitObservation | None = None
        self.asking_number: int | None = None
        self.closed_until = -math.inf

    @property
    def current(self) -> LimitObservation:
        """The observation that is in force."""
        return self.observation or self.confirmed

    @property
    def per_s(self) -> float | None:
        """The limit in force in requests a second, or None."""
        return self.current.per_s

    def allows_request(self, now: float) -> bool:
        """Tell whether a request can be sent, or a permit requested for it."""
        if self.per_s is None:
            return True
        return self.asking_number is None and now >= self.closed_until

    def record_response(self, observed: LimitObservation) -> bool:
        """Record what a response stated; tell whether the limit changed."""
        before = self.current
        if observed.per_s == before.per_s or not observed.supersedes(before):
            return False
        self.observation = observed
        self.closed_until = -math.inf
        return True

    def apply_facts(self, per_s: float | None, now: float) -> None:
        """Apply the limit in the facts of the fleet controller."""
        if per_s == self.confirmed.per_s:
            return
        if per_s != self.per_s:
            self.closed_until = -math.inf
        self.confirmed = LimitObservation(per_s, -math.inf, now)

    def drop_confirmed_observation(self, now: float) -> None:
        """Use the facts instead of an observation that they must include."""
        observed = self.observation
        if observed and now - observed.received_at > _CONFIRMATION_S:
            self.observation = None

    def keep_limit(self, now: float) -> None:
        """Keep the limit in force until a new fleet controller knows it.

        It becomes an observation of this entry, and is reported as such.
        """
        if self.per_s is not None:
            self.observation = LimitObservation(self.per_s, now, now)

    def record_permit(self, request_number: int, closed_until: float) -> None:
        """Record the answer to the permit request of a request."""
        self.cancel_request(request_number)
        self.close(closed_until)

    def close(self, until: float) -> None:
        """Request no permit before a time."""
        self.closed_until = max(self.closed_until, until)

    def cancel_request(self, request_number: int) -> None:
        """Allow other permit requests if this request was waiting for one."""
        if self.asking_number == request_number:
            self.asking_number = None
