"""Discovery of the entry instances to use, for callers and upstreams alike."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarhold.clock import Clock

REQUEST_TIMEOUT: Milliseconds = 400.0


class EntryFinder:
    """Asks any known entry for the instances to use and caches the answer as long as it says."""

    def __init__(self, seeds: Sequence[str], data_centre: str, clock: Clock) -> None:
        self._seeds = tuple(seeds)
        self._data_centre = data_centre
        self._clock = clock
        self._addresses: tuple[str, ...] = ()
        self._cached_until: Milliseconds = float("-inf")

    @property
    def seeds(self) -> tuple[str, ...]:
        """The configured entries, which are asked before any other entry is known."""
        return self._seeds

    def find(self) -> tuple[str, ...]:
        """Return the addresses in order of preference; empty if no entry answers."""
        if self._clock.now() < self._cached_until and self._addresses:
            return self._addresses
        for endpoint in dict.fromkeys((*self._addresses, *self._seeds)):
            asked_at = self._clock.now()
            try:
                path = f"/instances?data_centre={self._data_centre}"
                answer = request_json(endpoint, "GET", path, timeout=REQUEST_TIMEOUT)
            except PeerUnavailable:
                continue
            if answer.status == 200 and answer.body["addresses"]:
                self._addresses = tuple(answer.body["addresses"])
                self._cached_until = asked_at + answer.body["keep_ms"]
                return self._addresses
        self._addresses = ()
        return self._addresses
