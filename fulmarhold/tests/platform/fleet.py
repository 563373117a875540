"""Real daemons of the platform on loopback, and stand-ins for upstreams, operators and callers.

Every instance has its own loopback address, so that all can listen on the same ports.
"""

from __future__ import annotations

import json
import os
import resource
import subprocess
import sys
import time
from contextlib import suppress
from itertools import count
from typing import TYPE_CHECKING, Any

import gevent
from gevent.server import StreamServer

from fulmarhold.errors import PeerUnavailable
from fulmarhold.platform.encoding import CALLER_PORT, CONTROL_PORT, write_settings
from fulmarhold.soak.processes import peak_memory
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from pathlib import Path

TIMEOUT_SECONDS = 20.0
# Loopback addresses that other test runs on the same machine don't use at the same time.
NETWORK = f"127.{64 + os.getpid() // 250 % 180}.{os.getpid() % 250 + 1}"
CONTROL = tuple(f"{NETWORK}.{host}" for host in (1, 2, 3))
SUCCESSORS = tuple(f"{NETWORK}.{host}" for host in (4, 5, 6))
ENTRIES = tuple(f"{NETWORK}.{host}" for host in (21, 22))
# The first host number of the upstreams of `s1`, `s2` and so on.
UPSTREAM_HOST = 31
UPSTREAM_PORT = 8300
METRICS_PORT = 9464
RECORD = b"0123456789abcdef"
born = count(1_700_000_000_000)


class Upstream:
    """Upstream that answers with fixed records, a signature and the echoed request id."""

    def __init__(self, address, service, delay=0.0, data_centre="a", records=1):
        self.address, self.service, self.delay = address, service, delay
        self.data_centre, self.records = data_centre, records
        self.name, self.born, self.sequence = f"i-{address}", next(born), 0
        self.targets: list[str] = []
        self.headers: list[dict[str, str]] = []
        self.connections = 0
        # When each request arrived, in seconds.
        self.arrived_at: list[float] = []
        self._server = StreamServer((address, UPSTREAM_PORT), self._serve)
        self._server.start()

    def _serve(self, connection, _):
        self.connections += 1
        try:
            self._answer(connection)
        finally:
            self.connections -= 1

    def _answer(self, connection):
        file = connection.makefile("rb")
        while line := file.readline():
            headers = {}
            while (field := file.readline()) not in (b"\r\n", b""):
                key, _, value = field.decode().partition(":")
                headers[key.lower()] = value.strip()
            self.arrived_at.append(time.monotonic())
            self.targets.append(line.split(b" ")[1].decode())
            self.headers.append(headers)
            self._note()
            gevent.sleep(self.delay)
            is_meant = headers["x-fulmarhold-target-instance"] == self.name
            body = RECORD * self.records if is_meant else b""
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

    def _note(self):
        """Note a request, for tests that need more than its target."""

    def send_heartbeat(self, state="ready", control=CONTROL[0], warm_up=0):
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.address}:{UPSTREAM_PORT}",
            "zone": self.data_centre,
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmupLeftMs": warm_up,
            "sequence": self.sequence,
            "born": self.born,
        }
        return request_json(
            f"{control}:{CONTROL_PORT}", "PUT", f"/api/instances/{self.name}", body=body
        )

    def stop(self):
        self._server.stop()


class PlatformFleet:
    """Starts and stops the daemon processes with settings files in the platform's format."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}

    def start(
        self,
        address: str,
        *,
        first: bool = True,
        seeds: tuple[str, ...] = CONTROL,
        data_centre: str = "a",
        module: str = "fulmarhold.platform",
        memory_mebibytes: float = 300.0,
        bounds: dict[str, Any] | None = None,
        options: tuple[str, ...] = (),
    ) -> None:
        role = "entry" if address in ENTRIES else "control"
        folder = self._folder / address
        folder.mkdir(exist_ok=True)
        settings = folder / "settings.json"
        document = write_settings(
            f"{role}-{address}", role, address, data_centre, seeds, str(folder), 1_200.0,
            is_first_start=first, memory_mebibytes=memory_mebibytes,
        )  # fmt: skip
        settings.write_text(json.dumps({**document, "bounds": bounds or {}}))
        with (folder / "log").open("ab") as log:
            self._processes[address] = subprocess.Popen(
                [sys.executable, *options, "-m", module, role],
                env={
                    **os.environ,
                    "FULMARHOLD_SETTINGS": str(settings),
                    # As on the platform, where the libraries are in a folder of their own.
                    "PYTHONPATH": os.pathsep.join(filter(None, sys.path)),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, address: str, number: int) -> None:
        self._processes[address].send_signal(number)

    def process_id(self, address: str) -> int:
        return self._processes[address].pid

    def peak_memory(self, address: str) -> int:
        """Return the largest resident size that a process has had, in bytes."""
        return peak_memory(self.process_id(address))

    def exit_code(self, address: str) -> int | None:
        return self._processes[address].poll()

    def set_disk_full(self, address: str, *, is_full: bool) -> None:
        """Make every write of a process to a file fail, its log included, or stop doing so."""
        limit = 0 if is_full else resource.RLIM_INFINITY
        process = self._processes[address].pid
        resource.prlimit(process, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def is_running(self, address: str) -> bool:
        return self._processes[address].poll() is None

    def wait(self, address: str) -> int:
        return wait_for(self._processes[address].poll, lambda code: code is not None)

    def kill(self) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait()


def wait_for(read: Any, accepts: Any) -> Any:
    value = None
    with gevent.Timeout(TIMEOUT_SECONDS, False):
        while True:
            with suppress(PeerUnavailable, OSError):
                value = read()
                if accepts(value):
                    return value
            gevent.sleep(0.02)
    raise AssertionError(f"no accepted value in time, last value: {value!r}")


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


def put_configuration(document, control=CONTROL[1]):
    def attempt():
        return request_json(f"{control}:{CONTROL_PORT}", "PUT", "/api/config", body=document)

    return wait_for(attempt, lambda answer: answer.status in (200, 400))


def send_request(entry, path="/a/x", request_id="id-1", headers=()):
    """Send a request over a new connection; returns status, headers and body."""
    with gevent.socket.create_connection(
        (entry, CALLER_PORT), timeout=TIMEOUT_SECONDS
    ) as connection:
        connection.sendall(
            f"GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Fulmarhold-Attempt-Id: {request_id}\r\n"
            "X-Fulmarhold-Request-Deadline: 4000\r\nConnection: close\r\n"
            f"{''.join(f'{name}: {value}' + chr(13) + chr(10) for name, value in headers)}"
            "\r\n".encode()
        )
        received = b""
        while part := connection.recv(65_536):
            received += part
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), head.decode().lower(), body


def wait_for_status(entry, path="/a/x", status=200):
    return wait_for(lambda: send_request(entry, path), lambda answer: answer[0] == status)


def read_metrics(address):
    """Return the metrics of an instance as text; raises `OSError` if they can't be read."""
    with gevent.socket.create_connection((address, METRICS_PORT), timeout=5.0) as connection:
        connection.sendall(b"GET /metrics HTTP/1.0\r\nHost: m\r\n\r\n")
        received = b""
        while part := connection.recv(65_536):
            received += part
    return received.decode()
