"""A continuous search load, for tests of failures under load."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.callers.caller import Caller
from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import PeerUnavailable

if TYPE_CHECKING:
    from fulmarhold.fleet.fleet import Fleet

DEADLINE: Milliseconds = 400.0


class SearchLoad:
    """Sends searches from concurrent callers until it is stopped.

    With `pinned`, `callers` callers use each entry; otherwise `callers` callers in all
    discover the entries themselves. Each caller waits `pause` ms between requests.
    """

    def __init__(
        self, fleet: Fleet, *, callers: int = 1, pinned: bool = True, pause: Milliseconds = 0.0
    ) -> None:
        self.documents: list[dict[str, Any]] = []
        self.connection_errors: list[str] = []
        self._fleet = fleet
        self._pause = pause
        self._is_running = True
        entries = fleet.entry_endpoints if pinned else [""]
        self._tasks = [
            gevent.spawn(self._run, number, entry) for entry in entries for number in range(callers)
        ]

    def stop(self) -> list[dict[str, Any]]:
        """Wait for the requests in progress to finish and return all response documents."""
        self._is_running = False
        gevent.joinall(self._tasks, raise_error=True)
        return self.documents

    def _run(self, number: int, entry: str) -> None:
        data_centres = self._fleet.plan.questionnaire.data_centres
        caller = Caller(
            self._fleet.entry_endpoints, data_centres[number % len(data_centres)], Random(number)
        )
        while self._is_running:
            try:
                answer = caller.send("lookup", "search", deadline=DEADLINE, entry=entry)
                self.documents.append(answer.document)
            except PeerUnavailable as error:
                self.connection_errors.append(str(error))
            gevent.sleep(self._pause / SECOND)
        caller.close()
