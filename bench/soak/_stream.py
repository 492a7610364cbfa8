"""The events that a caller has got of one stream, over all its tries."""

from typing import final


@final
class Stream:
    """A stream: the request that began it, and the versions that wrote it.

    `last_id` is the id of the last event, of `event_count`.
    """

    __slots__ = ('begun_as', 'event_count', 'last_id', 'versions')

    def __init__(
        self, begun_as: str, event_count: int, last_id: int = 0
    ) -> None:
        self.begun_as = begun_as
        self.event_count = event_count
        self.last_id = last_id
        self.versions: set[str] = set()

    @property
    def is_whole(self) -> bool:
        """Whether the caller has got all events."""
        return self.last_id == self.event_count

    def add_events(self, request_id: str, received: bytes) -> str:
        """Add whole events of a request; return what is wrong, or ''."""
        for event in received.split(b'\n\n')[:-1]:
            number, _, text = event.decode('ascii').partition('\n')
            owner, _, version = text.removeprefix('data: ').partition(' ')
            if owner != request_id:
                return f'event of {owner}'
            if number != f'id: {self.last_id + 1}':
                return f'{number} after {self.last_id}'
            self.last_id += 1
            self.versions.add(version)
        return ''
