"""A caller as users run it: asks for addresses, keeps the answer, connects there itself."""

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
LONGEST_ANSWER: Milliseconds = 62_000.0


@dataclass(frozen=True)
class CallerAnswer:
    """What came back: the decoded outcome, from which entry, after how long."""

    status: int
    document: dict[str, Any]
    entry: str
    latency: Milliseconds

    @property
    def outcome(self) -> str:
        return str(self.document.get("outcome", ""))


class Caller:
    """Sends requests to the entries that the system names, the preferred ones in turn."""

    def __init__(self, seeds: Sequence[str], data_centre: str, random: Random) -> None:
        self._clock = Clock()
        self._finder = EntryFinder(seeds, data_centre, self._clock)
        self._random = random
        self._clients: dict[str, JsonClient] = {}

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses in force, asking again only when the answer has run out."""
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
        """Send one request; raises `PeerUnavailable` without an entry or a connection."""
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
            raise PeerUnavailable("no entry names any", step="finding an entry", peer=peers)
        return self._random.choice(addresses)

    def _client(self, endpoint: str) -> JsonClient:
        client = self._clients.get(endpoint)
        if client is None:
            client = JsonClient(endpoint, LONGEST_ANSWER, CONNECTIONS_PER_ENTRY)
            self._clients[endpoint] = client
        return client
