"""The daemons as the platform runs them: three control and two entry processes on loopback.

Every instance has a loopback address of its own, so that all can listen on the same ports.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from itertools import count
from typing import TYPE_CHECKING, Any

import gevent
import pytest
from gevent.server import StreamServer

from fulmarhold.control.statement_file import StatementFile
from fulmarhold.errors import PeerUnavailable
from fulmarhold.observe.counters import Counters
from fulmarhold.platform.encoding import (
    CALLER_PORT,
    CONTROL_PORT,
    DIRECTORY_PORT,
    write_settings,
)
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from pathlib import Path

PATIENCE_SECONDS = 20.0
CONTROL = ("127.0.31.1", "127.0.31.2", "127.0.31.3")
ENTRIES = ("127.0.32.1", "127.0.32.2")
UPSTREAM_PORT = 8300
RECORD = b"0123456789abcdef"
born = count(1_700_000_000_000)


class Upstream:
    """Answers requests with its own records, a signature and the echo of the request's id."""

    def __init__(self, address, service, delay=0.0):
        self.address, self.service, self.delay = address, service, delay
        self.name, self.born, self.sequence = f"i-{address}", next(born), 0
        self.targets = []
        self._server = StreamServer((address, UPSTREAM_PORT), self._serve)
        self._server.start()

    def _serve(self, connection, _):
        file = connection.makefile("rb")
        while line := file.readline():
            headers = {}
            while (field := file.readline()) not in (b"\r\n", b""):
                key, _, value = field.decode().partition(":")
                headers[key.lower()] = value.strip()
            self.targets.append(line.split(b" ")[1].decode())
            gevent.sleep(self.delay)
            body = RECORD if headers["x-fulmarhold-target-instance"] == self.name else b""
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nX-Fulmarhold-Server-Stamp: s-%s\r\n"
                b"X-Fulmarhold-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s"
                % (
                    self.name.encode(),
                    headers["x-fulmarhold-attempt-id"].encode(),
                    len(body),
                    body,
                )
            )

    def beat(self, state="ready", control=CONTROL[0]):
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.address}:{UPSTREAM_PORT}",
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return request_json(
            f"{control}:{CONTROL_PORT}", "PUT", f"/api/instances/{self.name}", body=body
        )

    def stop(self):
        self._server.stop()


class PlatformFleet:
    """The processes, started with settings files as the platform writes them."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, address: str, *, first: bool = True) -> None:
        role = "control" if address in CONTROL else "entry"
        folder = self._folder / address
        folder.mkdir(exist_ok=True)
        settings = folder / "settings.json"
        document = write_settings(
            f"{role}-{address}", role, address, "a", CONTROL, str(folder), 1_200.0,
            is_first_start=first,
        )  # fmt: skip
        settings.write_text(json.dumps(document))
        with (folder / "log").open("ab") as log:
            self._processes[address] = subprocess.Popen(
                [sys.executable, "-m", "fulmarhold.platform", role],
                env={**os.environ, "FULMARHOLD_SETTINGS": str(settings)},
                stdout=log,
                stderr=log,
            )

    def signal(self, address: str, number: int) -> None:
        self._processes[address].send_signal(number)

    def wait(self, address: str) -> int:
        return await_value(self._processes[address].poll, lambda code: code is not None)

    def kill(self) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()


def await_value(read: Any, accepts: Any) -> Any:
    value = None
    with gevent.Timeout(PATIENCE_SECONDS, False):
        while True:
            with suppress(PeerUnavailable, OSError):
                value = read()
                if accepts(value):
                    return value
            gevent.sleep(0.02)
    raise AssertionError(f"not in time, last {value!r}")


def configuration(version, prefix="/a/", **route):
    return {
        "version": version,
        "routes": [
            {
                "name": "r1",
                "host": "h.example",
                "pathPrefix": prefix,
                "routeType": "idempotent",
                "timeoutMs": 5000,
                "targetLatencyMs": 2000,
                "priority": 1,
                "maxAttempts": 2,
                **(route or {"service": "s1"}),
            }
        ],
        "services": [
            {"name": "s1", "maxConnections": 20},
            {"name": "s2", "maxConnections": 20},
        ],
    }


def put_configuration(document):
    def attempt():
        return request_json(f"{CONTROL[1]}:{CONTROL_PORT}", "PUT", "/api/config", body=document)

    return await_value(attempt, lambda answer: answer.status in (200, 400))


def ask(entry, path="/a/x", request_id="id-1"):
    """Send a request over a connection of its own; returns status, headers and body."""
    with gevent.socket.create_connection((entry, CALLER_PORT), timeout=PATIENCE_SECONDS) as open_:
        open_.sendall(
            f"GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Fulmarhold-Attempt-Id: {request_id}\r\n"
            "X-Fulmarhold-Request-Deadline: 4000\r\nConnection: close\r\n\r\n".encode()
        )
        received = b""
        while part := open_.recv(65_536):
            received += part
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), head.decode().lower(), body


@pytest.fixture
def fleet(tmp_path):
    made = PlatformFleet(tmp_path)
    for address in (*CONTROL, *ENTRIES):
        made.start(address)
    yield made
    made.kill()


@pytest.fixture
def upstreams():
    made = [Upstream("127.0.33.1", "s1"), Upstream("127.0.33.2", "s2")]
    yield made
    for upstream in made:
        upstream.stop()


def await_served(entry, path="/a/x", status=200):
    return await_value(lambda: ask(entry, path), lambda answer: answer[0] == status)


def test_the_whole_path_through_changes_drains_and_losses(fleet, upstreams, tmp_path):
    first, second = upstreams
    assert await_served(ENTRIES[0], status=503)[1].count("retry-after") == 1

    assert put_configuration(configuration(3)).status == 200
    assert put_configuration({**configuration(4), "services": []}).status == 400
    for upstream in upstreams:
        assert await_value(upstream.beat, lambda answer: answer.status == 200)
    for entry in ENTRIES:
        status, head, body = await_served(entry)
        assert (status, body) == (200, RECORD)
        assert f"x-fulmarhold-server-stamp: s-{first.name}" in head
        assert ask(entry, "/none/")[0] == 404

    # An older version changes nothing; a newer one over shards is in force everywhere.
    shards = {"shardServices": ["s1", "s2"], "topK": 5, "minShardShare": 0.5}
    assert put_configuration(configuration(9, **shards)).status == 200
    assert put_configuration(configuration(8)).status == 200
    for entry in ENTRIES:
        answer = await_value(lambda to=entry: ask(to), lambda found: "part-stamps" in found[1])
        assert answer[2] == RECORD * 2 and "x-fulmarhold-missing-parts: 0" in answer[1]

    for address in CONTROL:
        kept = StatementFile(tmp_path / address, Counters())
        await_value(kept.load, lambda statements: len(statements) == len(upstreams))

    # All control processes are killed: entries serve on, and nothing that was accepted is lost.
    for address in CONTROL:
        fleet.signal(address, signal.SIGKILL)
        fleet.wait(address)
    assert ask(ENTRIES[0])[0] == 200
    for address in CONTROL:
        fleet.start(address, first=False)
    read = await_value(
        lambda: request_json(f"{CONTROL[2]}:{CONTROL_PORT}", "GET", "/api/config"),
        lambda answer: answer.status == 200,
    )
    assert read.body == configuration(9, **shards)

    # A restarted entry knows the upstreams from control's file, before any heartbeat.
    fleet.signal(ENTRIES[1], signal.SIGKILL)
    fleet.wait(ENTRIES[1])
    fleet.start(ENTRIES[1], first=False)
    assert "x-fulmarhold-missing-parts: 0" in await_served(ENTRIES[1])[1]

    # A leaving upstream gets nothing more, and a late heartbeat does not bring it back.
    assert await_value(lambda: second.beat("draining"), lambda answer: answer.status == 200)
    second.beat("ready", CONTROL[2])
    for entry in ENTRIES:
        await_value(
            lambda to=entry: ask(to), lambda found: "x-fulmarhold-missing-parts: 1" in found[1]
        )
    served_before = len(second.targets)
    for _ in range(5):
        assert ask(ENTRIES[0])[0] == 200
    assert len(second.targets) == served_before


def test_a_planned_stop_leaves_the_directory_at_once_and_cuts_nothing(fleet, upstreams):
    upstreams[0].delay = 0.8
    assert put_configuration(configuration(3)).status == 200
    await_value(upstreams[0].beat, lambda answer: answer.status == 200)
    await_served(ENTRIES[0])

    def directory():
        path = "/api/lookup?name=h.example&region=r&zone=a"
        return request_json(f"{ENTRIES[1]}:{DIRECTORY_PORT}", "GET", path)

    await_value(directory, lambda answer: answer.status == 200 and len(answer.body["addrs"]) == 2)
    under_way = gevent.spawn(ask, ENTRIES[0])
    await_value(lambda: len(upstreams[0].targets), lambda sent: sent > 1)
    fleet.signal(ENTRIES[0], signal.SIGTERM)
    left = await_value(directory, lambda answer: len(answer.body["addrs"]) == 1)
    assert left.body["addrs"] == [f"{ENTRIES[1]}:{CALLER_PORT}"]
    # Callers that have not heard yet are still served, and told to connect elsewhere.
    status, head, _ = ask(ENTRIES[0])
    assert status == 200 and "connection: close" in head
    assert under_way.get(timeout=PATIENCE_SECONDS)[0] == 200
    assert fleet.wait(ENTRIES[0]) == 0
