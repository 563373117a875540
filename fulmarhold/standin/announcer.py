"""Announces each stand-in upstream to two entry instances, discovered as callers do it."""

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

# Used until an entry returns its announcement period.
INITIAL_PERIOD: Milliseconds = 500.0
ENTRIES_PER_UPSTREAM = 2
REQUEST_TIMEOUT: Milliseconds = 400.0


class Announcer:
    """Keeps one upstream announced; an unresponsive entry delays no announcement to others."""

    def __init__(
        self, upstream: StandinUpstream, finder: EntryFinder, data_centre: str = ""
    ) -> None:
        self._upstream = upstream
        self._data_centre = data_centre
        self._finder = finder
        self._sessions: dict[str, _AnnouncementSession] = {}

    def run(self) -> None:
        """Announce until killed."""
        try:
            while True:
                self._update_sessions(self._choose_entries())
                gevent.sleep(INITIAL_PERIOD / SECOND)
        finally:
            self._update_sessions([])

    def announce_now(self) -> None:
        """Announce now, without waiting for the end of the period."""
        for session in self._sessions.values():
            session.is_due.set()

    def _choose_entries(self) -> list[str]:
        """Return the entries that rank first by hash; a new entry displaces at most one of them."""
        address = self._upstream.record.address
        found = self._finder.find() or tuple(self._sessions)
        ranked = sorted(
            found, key=lambda entry: xxhash.xxh64_intdigest(f"{address} {entry}".encode())
        )
        return ranked[:ENTRIES_PER_UPSTREAM]

    def _update_sessions(self, entries: list[str]) -> None:
        for endpoint in [endpoint for endpoint in self._sessions if endpoint not in entries]:
            self._sessions.pop(endpoint).stop()
        for endpoint in entries:
            if endpoint not in self._sessions:
                self._sessions[endpoint] = _AnnouncementSession(
                    self._upstream, endpoint, self._data_centre
                )


class _AnnouncementSession:
    """Announces one upstream to one entry, at the period that the entry returns."""

    def __init__(self, upstream: StandinUpstream, endpoint: str, data_centre: str) -> None:
        self.is_due = Event()
        self._upstream = upstream
        self._data_centre = data_centre
        self._endpoint = endpoint
        self._client = JsonClient(endpoint, REQUEST_TIMEOUT)
        self._clock = Clock()
        self._token = ""
        self._period = INITIAL_PERIOD
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        self._greenlet.kill(block=False)
        self._client.close()

    def _run(self) -> None:
        while True:
            self.is_due.clear()
            next_at = self._clock.now() + self._period
            if self._upstream.is_running and self._upstream.behaviour.announces:
                self._announce()
            self.is_due.wait(max(0.0, next_at - self._clock.now()) / SECOND)

    def _announce(self) -> None:
        # Without a fresh token there is no lease; the reply has one for the second attempt.
        for _ in range(2):
            record = replace(self._upstream.record, load=self._upstream.load)
            body = {"upstream": asdict(record), "token": self._token}
            if self._data_centre:
                body["data_centre"] = self._data_centre
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
