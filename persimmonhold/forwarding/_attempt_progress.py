"""How far one attempt at an upstream has got."""

from typing import final


@final
class AttemptProgress:
    """What has happened to an attempt.

    `has_written` tells that the request was sent, at least in part, and
    `written_at` when, by the clock of the loop. `is_cut`
    tells that the upstream closed the last connection. `is_overdue` tells that
    no response had arrived when it was due. `requests_before` is how many
    requests the last connection had carried before. `is_given_up` tells that the entry
    has ended the attempt, and `is_superseded` that it did so for another one.
    """

    __slots__ = (
        'has_written',
        'is_cut',
        'is_given_up',
        'is_overdue',
        'requests_before',
        'is_superseded',
        'written_at',
    )

    def __init__(self) -> None:
        """Create the progress of an attempt that was not sent."""
        self.has_written = False
        self.is_cut = False
        self.is_given_up = False
        self.is_overdue = False
        self.requests_before = 0
        self.is_superseded = False
        self.written_at = 0.0
