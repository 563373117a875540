"""A client as callers run it: discovers entry instances, caches them and connects directly."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from fulmarhold.callers.finder import EntryFinder
from fulmarhold.clock import Clock, Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.web.client import JsonClient

if TYPE_CHECKING:
    from collections.abc import Sequence

CONNECTIONS_PER_ENTRY = 16
# Above the longest deadline that a service may have, one minute.
RESPONSE_TIMEOUT: Milliseconds = 62_000.0


@dataclass(frozen=True)
class CallerAnswer:
    """The decoded response to one request, the entry that sent it and the latency."""

    status: int
    document: dict[str, Any]
    entry: str
    latency: Milliseconds

    @property
    def outcome(self) -> str:
        return str(self.document.get("outcome", ""))


class Caller:
    """Sends each request to an entry chosen at random from the discovered ones."""

    def __init__(self, seeds: Sequence[str], data_centre: str, random: Random) -> None:
        self._clock = Clock()
        self._finder = EntryFinder(seeds, data_centre, self._clock)
        self._random = random
        self._clients: dict[str, JsonClient] = {}

    def addresses(self) -> tuple[str, ...]:
        """Return the cached entry addresses; looks them up again only after they expire."""
        return self._finder.find()

    def send(
        self,
        service: str,
        request_type: str,
        *,
        deadline: Milliseconds,
        body: Any = None,
        key: str = "",
        shard_key: str = "",
        entry: str = "",
    ) -> CallerAnswer:
        """Send one request; raises `PeerUnavailable` if no entry is known or reachable."""
        entry = entry or self._choose_entry()
        headers = {"Fulmarhold-Deadline-Ms": f"{deadline:.0f}"}
        if key:
            headers["Idempotency-Key"] = key
        if shard_key:
            headers["Fulmarhold-Shard-Key"] = shard_key
        started_at = self._clock.now()
        path = f"/query/{service}/{request_type}"
        response = self._client(entry).request("POST", path, body=body or {}, headers=headers)
        latency = self._clock.now() - started_at
        return CallerAnswer(response.status, response.body, entry, latency)

    def close(self) -> None:
        """Close every connection."""
        for client in self._clients.values():
            client.close()

    def _choose_entry(self) -> str:
        addresses = self.addresses()
        if not addresses:
            peers = ", ".join(self._finder.seeds)
            raise PeerUnavailable(
                "no entry returned the address of an entry", step="finding an entry", peer=peers
            )
        return self._random.choice(addresses)

    def _client(self, endpoint: str) -> JsonClient:
        client = self._clients.get(endpoint)
        if client is None:
            client = JsonClient(endpoint, RESPONSE_TIMEOUT, CONNECTIONS_PER_ENTRY)
            self._clients[endpoint] = client
        return client
