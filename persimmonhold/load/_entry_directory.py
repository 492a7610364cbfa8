"""Caches the list of entries, as a caller does."""

import random
from typing import Any, Final, final

import msgspec
from returns.result import Failure as Failed

from persimmonhold.web import (
    Address,
    ClientRequest,
    fetch,
    parse_address,
)

_TIMEOUT_S: Final = 2.0
_OK: Final = 200
# Factor on the weight of entries in the caller's own failure domain.
_OWN_DOMAIN_FACTOR: Final = 4


@final
class EntryDirectory:
    """Reads the list of entries from an entry and caches it until it expires.

    A refresh tries the cached and the seed addresses in random order until
    one of them responds; if none does, it is repeated after 1 s.
    `refresh_count` counts successful ones.
    """

    __slots__ = (
        '_entries',
        '_expires_at',
        '_random',
        '_seed_addresses',
        '_unreachable_until',
        'refresh_count',
    )

    def __init__(
        self, seed_addresses: tuple[Address, ...], random_seed: int
    ) -> None:
        """Create a directory that knows only some addresses of entries."""
        self.refresh_count = 0
        self._seed_addresses = seed_addresses
        self._random = random.Random(random_seed)
        self._entries: list[dict[str, Any]] = []
        self._expires_at = 0.0
        self._unreachable_until: dict[Address, float] = {}

    async def choose_entry(self, failure_domain: str, now: float) -> Address:
        """Return an entry's address, preferably in the caller's failure domain.

        Refreshes an expired list first. The choice is random by the entries'
        weights, excluding unreachable ones. A seed address is
        returned if no cached entry can be used.
        """
        if now >= self._expires_at:
            await self._refresh(now)
        candidates = [
            entry
            for entry in self._entries
            if not self._is_unreachable(entry, now)
        ]
        if not candidates:
            return self._random.choice(self._seed_addresses)
        weights = [self._weight(entry, failure_domain) for entry in candidates]
        chosen = self._random.choices(candidates, weights)[0]
        return parse_address(chosen['address']).unwrap()

    def mark_unreachable(self, address: Address, until: float) -> None:
        """Exclude an address until `until`; refresh the list by that time."""
        self._unreachable_until[address] = until
        self._expires_at = min(self._expires_at, until)

    def _is_unreachable(self, entry: dict[str, Any], now: float) -> bool:
        address = parse_address(entry['address']).unwrap()
        return self._unreachable_until.get(address, 0) > now

    def _weight(self, entry: dict[str, Any], failure_domain: str) -> float:
        weight = float(entry['weight'])
        if entry['failure_domain'] == failure_domain:
            return weight * _OWN_DOMAIN_FACTOR
        return weight

    async def _refresh(self, now: float) -> None:
        known = [
            parse_address(entry['address']).unwrap() for entry in self._entries
        ]
        request = ClientRequest(method='GET', target='/v1/entries')
        for address in self._shuffle_unique((*known, *self._seed_addresses)):
            fetched = await fetch(address, request, _TIMEOUT_S)
            if isinstance(fetched, Failed):
                continue
            if fetched.unwrap().head.status != _OK:
                continue
            document = msgspec.json.decode(fetched.unwrap().body)
            self._entries = document['entries']
            self._expires_at = now + float(document['ttl_s'])
            self.refresh_count += 1
            return
        self._expires_at = now + 1

    def _shuffle_unique(self, addresses: tuple[Address, ...]) -> list[Address]:
        unique = sorted(set(addresses), key=str)
        self._random.shuffle(unique)
        return unique
