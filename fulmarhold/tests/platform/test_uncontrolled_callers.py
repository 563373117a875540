"""The real daemons under callers outside our control: see `fulmarhold.tests.crowd`."""

from __future__ import annotations

import gevent
import pytest

from fulmarhold.platform.encoding import CALLER_PORT, CONTROL_PORT
from fulmarhold.tests.crowd import KINDS, PROCESS_MEBIBYTES, Target, check_crowd
from fulmarhold.tests.platform.fleet import (
    CONTROL,
    ENTRIES,
    NETWORK,
    RECORD,
    TIMEOUT_SECONDS,
    UPSTREAM_HOST,
    PlatformFleet,
    Upstream,
    configuration,
    put_configuration,
    wait_for,
    wait_for_status,
)

ENTRY = ENTRIES[0]
ORDINARY_CALLER = "127.0.4.1"
HEARTBEAT_SECONDS = 1.2
# An answer that does not fit into the buffers of a connection whose caller does not read.
LARGE_RECORDS = 3_000_000 // len(RECORD)
ONE_KIND = [(name,) for name in KINDS]
ALL_KINDS = ("whole bodies", "requests sent ahead", "header lines")
CASES = [*ONE_KIND, ALL_KINDS]
NAMES = [*KINDS, "all together"]


@pytest.fixture
def upstreams():
    started = [
        Upstream(f"{NETWORK}.{UPSTREAM_HOST}", "s1"),
        Upstream(f"{NETWORK}.{UPSTREAM_HOST + 1}", "s2", records=LARGE_RECORDS),
    ]
    yield started
    for upstream in started:
        upstream.stop()


@pytest.fixture
def fleet(tmp_path, upstreams):
    running = PlatformFleet(tmp_path)
    for address in (*CONTROL, ENTRY):
        running.start(address, memory_mebibytes=PROCESS_MEBIBYTES)
    document = configuration(3, service="s1")
    route = document["routes"][0]
    document["routes"].append({**route, "name": "r2", "pathPrefix": "/b/", "service": "s2"})
    assert put_configuration(document).status == 200
    for upstream in upstreams:
        wait_for(upstream.send_heartbeat, lambda answer: answer.status == 200)
    wait_for_status(ENTRY)
    heartbeats = gevent.spawn(keep_known, upstreams)
    yield running
    heartbeats.kill()
    running.kill()


def keep_known(upstreams):
    """Send heartbeats to the instance that no crowd calls."""
    while True:
        gevent.sleep(HEARTBEAT_SECONDS)
        for upstream in upstreams:
            upstream.send_heartbeat(control=CONTROL[1])


def exchange(address, data):
    """Send one request from an address of its own and return the status of its answer."""
    with gevent.socket.create_connection(
        address, TIMEOUT_SECONDS, source_address=(ORDINARY_CALLER, 0)
    ) as connection:
        connection.settimeout(TIMEOUT_SECONDS / 4)
        connection.sendall(data)
        return int((connection.recv(65_536) + b"  0 ").split(b" ")[1] or 0)


REQUEST = (
    b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Fulmarhold-Attempt-Id: ordinary\r\n"
    b"X-Fulmarhold-Request-Deadline: 4000\r\nConnection: close\r\n\r\n"
)
LARGE_ANSWER = (
    b"GET /b/x HTTP/1.1\r\nHost: h.example\r\nX-Fulmarhold-Attempt-Id: large\r\n"
    b"X-Fulmarhold-Request-Deadline: 4000\r\n\r\n"
)


# Guards against callers whose requests, sent or answered in part, take the memory, the descriptors
# or the places of an entry, so that it ends or serves nobody else.
@pytest.mark.parametrize("kinds", CASES, ids=NAMES)
def test_an_entry_outlives_callers_outside_our_control(fleet, kinds):
    check_crowd(
        Target((ENTRY, CALLER_PORT), "POST /c/x", 262_144, LARGE_ANSWER),
        kinds,
        fleet.process_id(ENTRY),
        lambda: fleet.is_running(ENTRY),
        lambda: exchange((ENTRY, CALLER_PORT), REQUEST),
    )


# Guards against the same at the interface of control for operators and heartbeats: an entry loses
# its upstreams, and operators can't store a configuration.
@pytest.mark.parametrize("kinds", CASES, ids=NAMES)
def test_control_outlives_callers_outside_our_control(fleet, upstreams, kinds):
    address = (CONTROL[0], CONTROL_PORT)

    def send_heartbeat():
        return upstreams[0].send_heartbeat(control=CONTROL[0]).status

    check_crowd(
        Target(address, "PUT /api/config", 262_144, b"", takes_long_heads=True),
        kinds,
        fleet.process_id(CONTROL[0]),
        lambda: fleet.is_running(CONTROL[0]),
        send_heartbeat,
    )
