"""The virtual times of start-time fair queuing over tokens.

Each party's next request has a virtual start time, and the lowest one goes
first. A party that was idle starts at the current virtual time, so it neither
saves up a share nor owes one.

Invariants: the virtual time never decreases, except in a reset. At most
`max_parties` finish times are kept.
"""

from typing import final


@final
class FairClock:
    """The virtual time, and when each party's last request finishes."""

    __slots__ = ('_finish_times', '_max_parties', '_virtual_time')

    def __init__(self, max_parties: int) -> None:
        """Create a clock at virtual time 0."""
        self._max_parties = max_parties
        self._virtual_time = 0.0
        self._finish_times: dict[str, float] = {}

    def find_start(self, party: str) -> float:
        """Return the virtual start time of a party's next request."""
        return max(self._virtual_time, self._finish_times.get(party, 0))

    def advance(self, start: float) -> None:
        """Record that a request with a virtual start time was dispatched."""
        self._virtual_time = max(self._virtual_time, start)

    def store_finish(self, party: str, finish: float) -> None:
        """Store the virtual finish time of a party's last request.

        Drops the earliest stored time if there are too many.
        """
        self._finish_times[party] = finish
        if len(self._finish_times) > self._max_parties:
            earliest = min(
                self._finish_times, key=self._finish_times.__getitem__
            )
            self._finish_times.pop(earliest)

    def charge(self, party: str, tokens: float) -> None:
        """Charge a request to a party at the moment of its dispatch."""
        start = self.find_start(party)
        self.advance(start)
        self.store_finish(party, start + tokens)

    def reset(self) -> None:
        """Forget all times, as no request waits."""
        self._finish_times.clear()
        self._virtual_time = 0
