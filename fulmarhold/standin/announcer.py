"""Announces stand-in upstreams to two entry instances each, found as callers find them."""

from __future__ import annotations

from dataclasses import asdict, replace
from typing import TYPE_CHECKING

import gevent
import xxhash
from gevent.event import Event

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.observe.logs import part_log
from fulmarhold.web.client import JsonClient

if TYPE_CHECKING:
    from fulmarhold.callers.finder import EntryFinder
    from fulmarhold.standin.upstream import StandinUpstream

log = part_log("standin")

ANNOUNCEMENT_PERIOD: Milliseconds = 600.0
ENTRIES_TOLD = 2
REQUEST_TIMEOUT: Milliseconds = 400.0


class Announcer:
    """Keeps one upstream announced."""

    def __init__(self, upstream: StandinUpstream, finder: EntryFinder) -> None:
        self._upstream = upstream
        self._finder = finder
        self._tokens: dict[str, str] = {}
        self._clients: dict[str, JsonClient] = {}
        self._now = Event()

    def run(self) -> None:
        """Announce until killed."""
        while True:
            self._now.clear()
            if self._upstream.is_running and self._upstream.behaviour.announces:
                tellings = [gevent.spawn(self._tell, endpoint) for endpoint in self._homes()]
                gevent.joinall(tellings)
            self._now.wait(ANNOUNCEMENT_PERIOD / SECOND)

    def announce_now(self) -> None:
        """Announce a change without waiting for the period."""
        self._now.set()

    def _homes(self) -> list[str]:
        """Return the entries to tell: the same ones as long as they serve."""
        address = self._upstream.record.address
        ranked = sorted(
            self._finder.find(),
            key=lambda entry: xxhash.xxh64_intdigest(f"{address} {entry}".encode()),
        )
        return ranked[:ENTRIES_TOLD]

    def _client(self, endpoint: str) -> JsonClient:
        if endpoint not in self._clients:
            self._clients[endpoint] = JsonClient(endpoint, REQUEST_TIMEOUT)
        return self._clients[endpoint]

    def _tell(self, endpoint: str) -> None:
        for _ in range(2):
            record = replace(self._upstream.record, load=self._upstream.load)
            body = {"upstream": asdict(record), "token": self._tokens.get(endpoint, "")}
            try:
                answer = self._client(endpoint).request("POST", "/announce", body=body)
            except PeerUnavailable:
                return
            if answer.status != 200:
                log.warning("{} refused an announcement: {}", endpoint, answer.body)
                return
            self._tokens[endpoint] = answer.body["token"]
            if answer.body["is_held"]:
                return
