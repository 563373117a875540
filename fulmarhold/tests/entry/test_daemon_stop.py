"""The stop of an entry daemon: bounded, and each request that it has read gets its answer."""

from __future__ import annotations

import time
from typing import Any

import gevent
import pytest
from gevent.event import Event

from fulmarhold.clock import SECOND, Clock
from fulmarhold.configuration import configuration_to_document
from fulmarhold.conftest import small_questionnaire
from fulmarhold.control.messages import RosterEntry
from fulmarhold.entry.addresses import EntryAddresses
from fulmarhold.entry.daemon import EntryDaemon
from fulmarhold.errors import PeerUnavailable
from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.gather.outcome import Answered, Coverage, Snapshot
from fulmarhold.questionnaire.derive import derive_configuration
from fulmarhold.settings.processes import EntrySettings
from fulmarhold.tests.connections import HttpConnection

PORTS = PortAllocator()
DRAIN_SECONDS = 0.2
# What a stop may take after its drain without a slow caller, below the second for which idle
# connections once delayed it.
STOP_SECONDS = DRAIN_SECONDS + 0.9
# Far longer than any stop of these tests that is bounded.
LONG_STOP_SECONDS = 15.0
HEAD = (
    b"POST /query/lookup/search HTTP/1.1\r\nHost: h\r\nFulmarhold-Deadline-Ms: 200\r\n"
    b"Content-Length: %d\r\n\r\n"
)
REQUEST = HEAD % 0


class Served:
    """A running entry whose requests are answered with `body` after `delay` seconds."""

    def __init__(self):
        self.started, self.body, self.delay = Event(), b"x", 0.0
        settings = EntrySettings(
            "entry-1", "a", "127.0.0.1", PORTS.allocate(), PORTS.allocate(),
            (PORTS.allocate_endpoint(),),
        )  # fmt: skip
        self.daemon = EntryDaemon(settings)
        document = configuration_to_document(derive_configuration(small_questionnaire()))
        own = RosterEntry("entry-1", "a", settings.caller_endpoint, "127.0.0.1:1")
        self.daemon.running.apply(1, 1, document, (own,))
        self.daemon.running.confirm_by_control(1, Clock().now())
        handler: Any = self.daemon.request_handler
        handler.handle = self._answer
        self.endpoint = ("127.0.0.1", settings.caller_port)
        self.daemon.start()

    def _answer(self, _):
        self.started.set()
        gevent.sleep(self.delay)
        return Answered(Snapshot("l", 1), Coverage(1, {}), {0: self.body}, True)

    def connect(self):
        return HttpConnection(self.endpoint)


@pytest.fixture
def served(monkeypatch):
    monkeypatch.setattr(EntryAddresses, "drain_duration", DRAIN_SECONDS * SECOND)
    running = Served()
    yield running
    running.daemon.failure.set(None)


def refuse(request, timeout):
    raise PeerUnavailable("not reachable")


def stop(served):
    """Stop the daemon and return how many seconds that took."""
    exchange: Any = served.daemon.exchange
    # Control is unreachable, which the entry would wait out when it tells that it has left.
    exchange._control.call = refuse
    started_at = time.monotonic()
    with gevent.Timeout(LONG_STOP_SECONDS, AssertionError("the stop does not end")):
        served.daemon.stop(Clock().now())
    return time.monotonic() - started_at


# Guards against kept connections whose requests keep the stop waiting, or are cut at its end.
def test_callers_that_keep_sending_requests_are_answered_until_the_stop(served):
    served.delay = 0.05
    statuses = []

    def call():
        connection = served.connect()
        while True:
            connection.send(REQUEST)
            status, headers, _ = connection.read()
            statuses.append(status)
            if status == 0 or headers.get("connection") == "close":
                return

    callers = [gevent.spawn(call) for _ in range(5)]
    served.started.wait()
    assert stop(served) < STOP_SECONDS
    gevent.joinall(callers, timeout=LONG_STOP_SECONDS, raise_error=True)
    assert set(statuses) == {200}


# Guards against answers that count as sent while a slow caller still reads them.
def test_an_answer_that_is_read_slowly_is_sent_in_full(served):
    served.body = b"x" * 24_000_000
    connection = served.connect()
    connection.send(REQUEST)
    served.started.wait()
    stopping = gevent.spawn(stop, served)
    gevent.sleep(DRAIN_SECONDS + 1.5)
    assert connection.read()[0] == 200
    stopping.get()


# Guards against a stop that waits without a bound.
def test_a_request_that_does_not_arrive_in_full_does_not_keep_the_entry_from_stopping(served):
    connection = served.connect()
    connection.send(HEAD % 10 + b"12345")
    gevent.sleep(0.05)
    assert stop(served) < LONG_STOP_SECONDS
    assert connection.read()[0] == 503


def test_a_request_in_progress_is_completed(served):
    served.delay = DRAIN_SECONDS + 0.1
    connection = served.connect()
    connection.send(REQUEST)
    served.started.wait()
    stopping = gevent.spawn(stop, served)
    assert connection.read()[0] == 200
    assert stopping.get() < STOP_SECONDS
