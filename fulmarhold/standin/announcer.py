"""Announces stand-in upstreams to two entry instances each, found as callers find them."""

from __future__ import annotations

from dataclasses import asdict, replace
from typing import TYPE_CHECKING

import gevent
import xxhash
from gevent.event import Event

from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.observe.logs import get_logger
from fulmarhold.web.client import JsonClient

if TYPE_CHECKING:
    from fulmarhold.callers.finder import EntryFinder
    from fulmarhold.standin.upstream import StandinUpstream

log = get_logger("standin")

# Until an entry names the period.
FIRST_PERIOD: Milliseconds = 500.0
ENTRIES_TOLD = 2
REQUEST_TIMEOUT: Milliseconds = 400.0


class Announcer:
    """Keeps one upstream announced; an entry that hangs delays nothing at the others."""

    def __init__(self, upstream: StandinUpstream, finder: EntryFinder) -> None:
        self._upstream = upstream
        self._finder = finder
        self._tellers: dict[str, _Teller] = {}

    def run(self) -> None:
        """Announce until killed."""
        try:
            while True:
                self._keep_tellers(self._homes())
                gevent.sleep(FIRST_PERIOD / SECOND)
        finally:
            self._keep_tellers([])

    def announce_now(self) -> None:
        """Announce a change without waiting for the period."""
        for teller in self._tellers.values():
            teller.now.set()

    def _homes(self) -> list[str]:
        """Return the entries to tell: the same ones as long as they serve."""
        address = self._upstream.record.address
        found = self._finder.find() or tuple(self._tellers)
        ranked = sorted(
            found, key=lambda entry: xxhash.xxh64_intdigest(f"{address} {entry}".encode())
        )
        return ranked[:ENTRIES_TOLD]

    def _keep_tellers(self, homes: list[str]) -> None:
        for endpoint in [endpoint for endpoint in self._tellers if endpoint not in homes]:
            self._tellers.pop(endpoint).stop()
        for endpoint in homes:
            if endpoint not in self._tellers:
                self._tellers[endpoint] = _Teller(self._upstream, endpoint)


class _Teller:
    """Announces to one entry, at the period that the entry names."""

    def __init__(self, upstream: StandinUpstream, endpoint: str) -> None:
        self.now = Event()
        self._upstream = upstream
        self._endpoint = endpoint
        self._client = JsonClient(endpoint, REQUEST_TIMEOUT)
        self._clock = Clock()
        self._token = ""
        self._period = FIRST_PERIOD
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        self._greenlet.kill(block=False)
        self._client.close()

    def _run(self) -> None:
        while True:
            self.now.clear()
            due = self._clock.now() + self._period
            if self._upstream.is_running and self._upstream.behaviour.announces:
                self._tell()
            self.now.wait(max(0.0, due - self._clock.now()) / SECOND)

    def _tell(self) -> None:
        for _ in range(2):
            record = replace(self._upstream.record, load=self._upstream.load)
            body = {"upstream": asdict(record), "token": self._token}
            try:
                answer = self._client.request("POST", "/announce", body=body)
            except PeerUnavailable:
                return
            if answer.status != 200:
                log.warning("{} refused an announcement: {}", self._endpoint, answer.body)
                return
            self._token, self._period = answer.body["token"], answer.body["period_ms"]
            if answer.body["is_held"]:
                return
