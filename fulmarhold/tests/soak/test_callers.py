"""A caller waits until its deadline, however long it took to connect."""

from __future__ import annotations

from pathlib import Path

import gevent
from gevent.server import StreamServer

from fulmarhold.clock import SECOND, Clock
from fulmarhold.soak.callers import CONNECT_TIMEOUT, CallerConnection
from fulmarhold.soak.kinds import SLOW
from fulmarhold.soak.observations import TIMED_OUT, Observations
from fulmarhold.soak.processes import Instance


def send_to_entry_that_needs(duration, *, deadline):
    def serve(connection, _):
        connection.recv(65_536)
        gevent.sleep(duration / SECOND)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    entry = Instance("entry", "127.0.0.1", "a", (), Path(), 1_000.0)
    connection = CallerConnection(entry, ("127.0.0.1", server.server_port))
    response = connection.send_request(SLOW, "/slow/1", Observations(Clock()), deadline=deadline)
    connection.close()
    server.stop(timeout=0)
    return response


def test_response_that_takes_longer_than_a_connection_may_take_is_received():
    response = send_to_entry_that_needs(CONNECT_TIMEOUT + 200, deadline=4_000.0)
    assert response.status == 200 and response.at >= response.request.at + CONNECT_TIMEOUT


def test_caller_stops_waiting_after_its_deadline():
    response = send_to_entry_that_needs(2_000.0, deadline=100.0)
    assert response.status == TIMED_OUT
    assert response.request.until == response.request.at + 100
