"""Planned stops of a control instance: each call that it has read gets a whole and true answer."""

from __future__ import annotations

import itertools
import json
import re
import signal
import time
from contextlib import suppress

import gevent
import pytest

from fulmarhold.platform.encoding import CONTROL_PORT, INTERNAL_PORTS
from fulmarhold.tests.platform.fleet import (
    CONTROL,
    METRICS_PORT,
    TIMEOUT_SECONDS,
    PlatformFleet,
    configuration,
    put_configuration,
    wait_for,
)
from fulmarhold.tests.platform.slow_disk import SLOW_FILE
from fulmarhold.web.client import request_json

# The grace period of the settings' default, at whose end the platform kills a process.
GRACE_SECONDS = 6.0
PEER_PORT = INTERNAL_PORTS[0]
HEARTBEAT = {
    "service": "s1", "address": "127.0.0.9:1", "zone": "a", "version": "v1", "slots": 4,
    "state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": 1_700_000_000_000,
}  # fmt: skip


class KeptConnection:
    """An operator's or upstream's connection, used for one call after the other."""

    def __init__(self, address):
        self._socket = gevent.socket.create_connection(
            (address, CONTROL_PORT), timeout=TIMEOUT_SECONDS
        )
        self._file = self._socket.makefile("rb")
        self._line = b""
        self.is_open = True

    def call(self, method, path, document=None):
        """Send a request and return the response's status, and its body if it is whole."""
        body = json.dumps(document).encode() if document is not None else b""
        self.send(head(method, path, body) + body)
        return self.read()

    def send(self, data):
        self._socket.sendall(data)

    def read_status(self):
        """Return the status of a response, whose rest `read` returns."""
        self._line = self._file.readline()
        return int(self._line.split(b" ")[1])

    def read(self):
        """Return status and document; (0, None) for a cut response, `None` without a byte."""
        try:
            line, self._line = self._line or self._file.readline(), b""
            fields = {}
            while (field := self._file.readline()).strip():
                name, _, value = field.decode().partition(":")
                fields[name.lower()] = value.strip()
            length = int(fields.get("content-length", "0"))
            body = self._file.read(length)
        except ConnectionResetError:
            line, fields, length, body = b"", {}, 0, b""
        is_whole = bool(field) and len(body) == length if line else False
        self.is_open = is_whole and fields.get("connection") != "close"
        if not line:
            return None
        if not is_whole:
            return 0, None
        is_json = fields.get("content-type", "").startswith("application/json")
        return int(line.split(b" ")[1]), json.loads(body) if is_json else None


def head(method, path, body):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
    )


@pytest.fixture
def control(tmp_path):
    """Three control instances that have stored version 1, and whose disks can be slowed down."""
    started = PlatformFleet(tmp_path)
    for address in CONTROL:
        started.start(address, module="fulmarhold.tests.platform.slow_disk")
    assert put_configuration(configuration(1)).status == 200
    for address in CONTROL:
        wait_for(lambda at=address: KeptConnection(at).call("GET", "/api/config"), is_success)
    yield started
    for address in CONTROL:
        started.signal(address, signal.SIGCONT)
    started.kill()


def is_success(answer):
    return answer is not None and answer[0] == 200


def leads(address):
    with gevent.socket.create_connection(
        (address, METRICS_PORT), timeout=TIMEOUT_SECONDS
    ) as connection:
        connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n")
        received = b""
        while part := connection.recv(65_536):
            received += part
    return re.search(rb"control_leads 1(\.0)?\b", received) is not None


def find_leader():
    return wait_for(lambda: next(filter(leads, CONTROL), None), lambda found: found is not None)


def stored_version(address):
    answer = wait_for(lambda: KeptConnection(address).call("GET", "/api/config"), is_success)
    return answer[1]["version"]


def stop(fleet, address):
    """Send SIGTERM twice, wait for the end, and return how many seconds it took."""
    started_at = time.monotonic()
    fleet.signal(address, signal.SIGTERM)
    gevent.sleep(0.05)
    fleet.signal(address, signal.SIGTERM)
    assert fleet.wait(address) == 0
    return time.monotonic() - started_at


class Caller:
    """Makes calls on kept and new connections until the instance accepts none."""

    def __init__(self, address, make_call):
        self._address = address
        self._make_call = make_call
        self.answers = []
        self._greenlet = gevent.spawn(self._run)

    def _run(self):
        with gevent.Timeout(TIMEOUT_SECONDS):
            while True:
                try:
                    connection = KeptConnection(self._address)
                except OSError:
                    return
                while connection.is_open:
                    method, path, document = self._make_call()
                    try:
                        answer = connection.call(method, path, document)
                    except (BrokenPipeError, ConnectionResetError):
                        answer = None
                    # A call that crosses the close of its connection is not read.
                    if answer is None:
                        break
                    self.answers.append((answer[0], document))
                    gevent.sleep(0.005)

    def join(self):
        self._greenlet.get()
        return self.answers


# Guards against calls that are cut, or answered 500, when a control instance stops.
@pytest.mark.parametrize("leader_stops", [True, False])
def test_calls_during_the_stop_of_a_control_instance_get_true_answers(control, leader_stops):
    leader = find_leader()
    stopping = leader if leader_stops else next(item for item in CONTROL if item != leader)
    versions, sequences = itertools.count(2), itertools.count(2)
    path = "/api/instances/i-%d"

    def heartbeat():
        sequence = next(sequences)
        return "PUT", path % (sequence % 9), {**HEARTBEAT, "sequence": sequence}

    calls = {
        "change": lambda: ("PUT", "/api/config", configuration(next(versions))),
        "read": lambda: ("GET", "/api/config", None),
        "heartbeat": heartbeat,
        "departure": lambda: ("DELETE", path % (next(sequences) % 9), None),
    }
    callers = {kind: [Caller(stopping, call) for _ in range(2)] for kind, call in calls.items()}
    gevent.sleep(0.3)
    assert stop(control, stopping) < GRACE_SECONDS
    answers = {
        kind: [answer for caller in group for answer in caller.join()]
        for kind, group in callers.items()
    }
    statuses = {kind: {status for status, _ in found} for kind, found in answers.items()}
    assert all(found <= {200, 503} and 200 in found for found in statuses.values()), statuses
    acknowledged = max(
        document["version"] for status, document in answers["change"] if status == 200
    )
    assert stored_version(next(item for item in CONTROL if item != stopping)) >= acknowledged


# Guards against a change whose body arrives slowly and is cut with the stop.
def test_a_change_that_arrives_slowly_during_the_stop_is_answered(control):
    stopping = find_leader()
    connection = KeptConnection(stopping)
    body = json.dumps(configuration(5)).encode()
    connection.send(head("PUT", "/api/config", body) + body[:100])
    gevent.sleep(0.1)
    control.signal(stopping, signal.SIGTERM)
    for byte in range(100, 130):
        gevent.sleep(0.1)
        with suppress(BrokenPipeError):
            connection.send(body[byte : byte + 1])
    with suppress(BrokenPipeError):
        connection.send(body[130:])
    status, _ = connection.read()
    assert control.wait(stopping) == 0
    assert status == 200
    assert stored_version(next(item for item in CONTROL if item != stopping)) == 5


# Guards against a change in progress that is cut because no majority decides before the stop.
def test_a_change_without_a_majority_is_answered_when_the_leader_stops(control):
    stopping = find_leader()
    others = [item for item in CONTROL if item != stopping]
    for address in others:
        control.signal(address, signal.SIGSTOP)
    changes = [gevent.spawn(change, stopping, version) for version in (2, 3)]
    gevent.sleep(0.1)
    assert stop(control, stopping) < GRACE_SECONDS
    assert [item.get(timeout=TIMEOUT_SECONDS)[0] for item in changes] == [503, 503]


def change(address, version):
    return KeptConnection(address).call("PUT", "/api/config", configuration(version))


# Guards against a change that is stored and not acknowledged, because its leader moves on.
def test_a_change_that_a_majority_stores_during_the_stop_is_acknowledged(control):
    stopping = find_leader()
    others = [item for item in CONTROL if item != stopping]
    connection = KeptConnection(stopping)
    body = json.dumps(configuration(7)).encode()
    connection.send(head("PUT", "/api/config", body) + body[:-1])
    gevent.sleep(0.1)
    started_at = time.monotonic()
    # A leader that hears of no majority for 450 ms steps down, and a 503 would be true then.
    for address in others:
        control.signal(address, signal.SIGSTOP)
    connection.send(body[-1:])
    gevent.sleep(0.03)
    control.signal(stopping, signal.SIGTERM)
    gevent.sleep(0.05)
    for address in others:
        control.signal(address, signal.SIGCONT)
    assert connection.read()[0] == 200
    assert control.wait(stopping) == 0
    assert time.monotonic() - started_at < GRACE_SECONDS
    assert stored_version(others[0]) == 7


# Guards against a stop in the first seconds that lasts longer than the grace period, or serves on.
@pytest.mark.parametrize("delay", [0.0, 0.3, 1.0])
def test_a_control_instance_that_has_just_started_ends_when_it_is_stopped(control, delay):
    address = CONTROL[2]
    stop(control, address)
    control.start(address, first=False)
    wait_for(lambda: gevent.socket.create_connection((address, PEER_PORT)), lambda _: True)
    gevent.sleep(delay)
    assert stop(control, address) < GRACE_SECONDS


# Guards against calls to the other instances that suffer from the stop of the leader.
def test_calls_to_the_other_instances_are_answered_in_time_while_the_leader_stops(control):
    stopping = find_leader()
    other = next(item for item in CONTROL if item != stopping)
    call_times = []

    def call(version):
        started_at = time.monotonic()
        answer = request_json(
            f"{other}:{CONTROL_PORT}", "PUT", "/api/config", body=configuration(version)
        )
        call_times.append(time.monotonic() - started_at)
        return answer.status

    control.signal(stopping, signal.SIGTERM)
    statuses = [call(version) for version in range(2, 60)]
    assert control.wait(stopping) == 0
    assert set(statuses) <= {200, 503}
    # An operator gives up a call after a second.
    assert max(call_times) < 1.0


# Guards against a configuration that is cut because the operator reads it slowly.
def test_a_configuration_that_is_read_slowly_during_the_stop_is_sent_in_full(control):
    stopping = find_leader()
    service = {"maxConnections": 20, "healthPath": "/" + "x" * 500}
    # Far more than the buffers of a loopback connection hold.
    services = [{"name": f"extra{number}", **service} for number in range(22_000)]
    document = configuration(2)
    document["services"] += services
    assert put_configuration(document, stopping).status == 200

    def begin_to_read():
        connection = KeptConnection(stopping)
        connection.send(head("GET", "/api/config", b""))
        return connection, connection.read_status()

    connection, _ = wait_for(begin_to_read, lambda begun: begun[1] == 200)
    control.signal(stopping, signal.SIGTERM)
    # Longer than the second after which calls were cut.
    gevent.sleep(3.5)
    status, read = connection.read()
    assert (status, read) == (200, document)
    assert control.wait(stopping) == 0


# Guards against changes that are cut, and stops that outlast the grace period, on slow disks.
@pytest.mark.parametrize("slow", [1, 3])
def test_changes_on_slow_disks_are_answered_while_the_leader_stops(control, tmp_path, slow):
    stopping = find_leader()
    addresses = [stopping, *(item for item in CONTROL if item != stopping)]
    for address in addresses[:slow]:
        (tmp_path / address / SLOW_FILE).touch()
    changes = [gevent.spawn(change, stopping, version) for version in (2, 3)]
    gevent.sleep(0.1)
    assert stop(control, stopping) < GRACE_SECONDS
    statuses = [item.get(timeout=TIMEOUT_SECONDS)[0] for item in changes]
    # The disks of the other two suffice for a majority.
    assert statuses == [200, 200] if slow == 1 else set(statuses) == {503}
    for address in addresses[:slow]:
        (tmp_path / address / SLOW_FILE).unlink()
    if slow == 1:
        assert stored_version(addresses[1]) == 3
