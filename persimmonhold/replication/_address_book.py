"""Tells listeners where the members of a replica's group are."""

from collections.abc import Callable
from typing import TypeAlias, final

AddressListener: TypeAlias = Callable[[dict[str, str]], None]


@final
class AddressBook:
    """The newest addresses (`ip:port`) by VM name, and their listeners.

    Without a leader nobody else tells where the other members are, so the
    first addresses are those of the stored log.
    """

    __slots__ = ('_listeners', 'addresses')

    def __init__(self) -> None:
        """Create a book without addresses."""
        self.addresses: dict[str, str] = {}
        self._listeners: list[AddressListener] = []

    def subscribe(self, listener: AddressListener) -> None:
        """Call `listener` with all addresses after each change of them."""
        self._listeners.append(listener)

    def update(self, addresses: dict[str, str]) -> None:
        """Replace the addresses; tell the listeners if they have changed."""
        if addresses == self.addresses:
            return
        self.addresses = addresses
        for listener in self._listeners:
            listener(addresses)
