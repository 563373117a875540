"""The stop of a control daemon: commands in progress get their answers, in bounded time."""

from __future__ import annotations

import json
import time

import gevent
import pytest
from gevent.event import Event

from fulmarhold.clock import Clock
from fulmarhold.control.daemon import ControlDaemon
from fulmarhold.control.messages import Accepted
from fulmarhold.control.service import IN_FORCE_TIMEOUT, AcceptResult
from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.settings.processes import ControlSettings
from fulmarhold.tests.connections import HttpConnection

PORTS = PortAllocator()
ACCEPT = json.dumps(
    {"command_id": "c", "operator": "anna", "base_revision": 0, "configuration": {}}
).encode()
HEAD = b"POST /commands/accept HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
# Far longer than any stop of these tests that is bounded.
LONG_STOP_SECONDS = 20.0


@pytest.fixture
def daemon(tmp_path):
    settings = ControlSettings(
        "control-1", "a", "127.0.0.1", PORTS.allocate(), PORTS.allocate(), str(tmp_path)
    )
    daemon = ControlDaemon(settings)
    daemon.start()
    return daemon


def connect(daemon):
    return HttpConnection(("127.0.0.1", daemon._settings.operator_port))


def stop(daemon):
    """Stop the daemon and return how many seconds that took."""
    started_at = time.monotonic()
    with gevent.Timeout(LONG_STOP_SECONDS, AssertionError("the stop does not end")):
        daemon.stop(Clock().now())
    return time.monotonic() - started_at


# Guards against a command that is accepted and answered 500, because it outlasts a second.
def test_a_command_that_waits_until_it_is_in_force_is_answered(daemon):
    started = Event()

    def accept(*_):
        started.set()
        gevent.sleep(1.0 + 0.5)
        return AcceptResult(Accepted(4, 5), True, ())

    daemon._service.accept = accept
    connection = connect(daemon)
    connection.send(HEAD % len(ACCEPT) + ACCEPT)
    started.wait()
    stopping = gevent.spawn(stop, daemon)
    status, headers, body = connection.read()
    assert (status, headers["connection"], json.loads(body)["revision"]) == (200, "close", 4)
    assert stopping.get() < IN_FORCE_TIMEOUT / 1_000


# Guards against a stop that lasts longer because operators keep connections open.
def test_idle_connections_do_not_delay_the_stop(daemon):
    connection = connect(daemon)
    connection.send(b"GET /queries/identity HTTP/1.1\r\nHost: h\r\n\r\n")
    assert connection.read()[0] == 200
    assert stop(daemon) < 0.9
    assert connection.is_closed()


# Guards against a command that is cut, and a stop without a bound, when nothing decides it.
def test_a_command_without_a_decision_is_answered_with_503(daemon):
    never, started = Event(), Event()

    def accept(*_):
        started.set()
        never.wait()

    daemon._service.accept = accept
    connection = connect(daemon)
    connection.send(HEAD % len(ACCEPT) + ACCEPT)
    started.wait()
    assert stop(daemon) < LONG_STOP_SECONDS / 2
    assert connection.read()[0] == 503
