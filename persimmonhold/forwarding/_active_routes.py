"""The route table of the routing document that is in force at an entry."""

from collections.abc import Callable
from typing import final

from persimmonhold.control.shell import ControlLink
from persimmonhold.observability import log_event
from persimmonhold.routes import RouteTable


@final
class ActiveRoutes:
    """Rebuilds the table when the view has a new document, and tells so.

    Listeners are called within `refresh`, whoever calls it first after the
    change, so that nothing is sent by a document that has been replaced.
    """

    __slots__ = ('_link', '_listeners', 'table')

    def __init__(self, link: ControlLink) -> None:
        """Create the table of the present view."""
        self._link = link
        self._listeners: list[Callable[[], None]] = []
        self.table = RouteTable(link.view.routes)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the document."""
        self._listeners.append(listener)

    def refresh(self) -> RouteTable:
        """Return the route table of the current view, rebuilt if it changed."""
        document = self._link.view.routes
        previous = self.table.document
        if document is previous:
            return self.table
        self.table = RouteTable(document)
        if document != previous:
            log_event('routes_in_force', version=document.version)
            for listener in self._listeners:
                listener()
        return self.table
