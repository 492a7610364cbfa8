"""Whether this VM may act as the fleet controller in a leadership term.

A leader whose lease has lapsed, for example after a short freeze, may get it
back in the same term. Nobody else leads in between. Numbers that must rise in a
term would begin again if its controller was replaced, so a lapse only pauses
the controller.
"""

from typing import final

from persimmonhold.control.shell import ControlNode
from persimmonhold.forwarding._fleet_term import FleetTerm
from persimmonhold.observability import log_event


@final
class TermLeadership:
    """Tells whether a term goes on and may act; logs pauses.

    `is_paused` tells whether the lease had lapsed at the last check.
    """

    __slots__ = ('is_paused', 'node')

    def __init__(self, node: ControlNode) -> None:
        """Create the view of a control replica's leadership."""
        self.node = node
        self.is_paused = False

    def is_over(self, term: FleetTerm) -> bool:
        """Tell whether this VM no longer leads in a term, lease or not."""
        status = self.node.log.status()
        return not (
            status.has_leadership and status.term == term.controller.term
        )

    def may_act(self, term: FleetTerm) -> bool:
        """Tell whether this VM leads in a term with a valid lease."""
        return self.node.is_leader and not self.is_over(term)

    def find_active(self, term: FleetTerm | None) -> FleetTerm | None:
        """Return the term if this VM may act in it; log pauses of it."""
        if term is None:
            self.is_paused = False
            return None
        is_paused = not self.may_act(term)
        if is_paused != self.is_paused:
            self.is_paused = is_paused
            log_event(
                'fleet_paused' if is_paused else 'fleet_continues',
                term=term.controller.term,
                issued_tokens=term.issued_token_count,
                updates=term.controller.sequence,
            )
        return None if is_paused else term
