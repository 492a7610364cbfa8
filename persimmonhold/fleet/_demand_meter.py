"""What an entry reports of its requests to the giver of orders."""

from typing import final

from persimmonhold.fleet._fleet_messages import EntryReport
from persimmonhold.fleet._forward_dispatcher import ForwardDispatcher
from persimmonhold.fleet._forward_ticket import ForwardTicket
from persimmonhold.fleet._model_demand import ModelDemand
from persimmonhold.fleet._shared_load import SharedLoad


@final
class FleetDemandMeter:
    """Counts arrivals by model between two reports."""

    __slots__ = ('arrived', 'known', 'sequence', 'tokens')

    def __init__(self) -> None:
        """Create a meter that has counted nothing."""
        self.arrived: dict[tuple[str, str], int] = {}
        self.tokens: dict[tuple[str, str], int] = {}
        self.known: set[tuple[str, str]] = set()
        self.sequence = 0

    def record_arrival(self, ticket: ForwardTicket) -> None:
        """Count a request that arrives."""
        key = (ticket.service, ticket.profile.model)
        prompt = ticket.profile.prompt_tokens
        self.arrived[key] = self.arrived.get(key, 0) + 1
        self.tokens[key] = self.tokens.get(key, 0) + prompt

    def build_report(self, dispatcher: ForwardDispatcher) -> EntryReport:
        """Return the report since the last one.

        A model is reported until a report has told that nothing of it runs
        or waits any more.
        """
        self.sequence += 1
        running = _running(dispatcher)
        waiting = {
            key: line for key, line in dispatcher.queues.items() if line.pending
        }
        keys = self.known | self.arrived.keys() | running.keys()
        keys |= waiting.keys()
        demand = tuple(
            ModelDemand(
                service=key[0],
                model=key[1],
                arrived=self.arrived.get(key, 0),
                tokens=self.tokens.get(key, 0),
                running=running.get(key, 0),
                waiting=len(waiting[key]) if key in waiting else 0,
            )
            for key in sorted(keys)
            if key[1]
        )
        self.known = {*running, *waiting}
        self.arrived = {}
        self.tokens = {}
        return EntryReport(
            term=dispatcher.term,
            number=dispatcher.number,
            sequence=self.sequence,
            loads=_loads(dispatcher),
            demand=demand,
        )


def _running(dispatcher: ForwardDispatcher) -> dict[tuple[str, str], int]:
    running: dict[tuple[str, str], int] = {}
    for use in dispatcher.chooser.trackers.values():
        for model, count in use.running_by_model:
            key = (use.facts.service, model)
            running[key] = running.get(key, 0) + count
    return running


def _loads(dispatcher: ForwardDispatcher) -> tuple[SharedLoad, ...]:
    return tuple(
        SharedLoad(
            name,
            len(use.running),
            use.own_unread_tokens,
            use.running_by_model,
            use.running_adapters,
        )
        for name, use in dispatcher.chooser.trackers.items()
        if use.running
    )
