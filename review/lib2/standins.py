"""Stand-ins for the platform, the servers, the operator and the clients, for the scripts of a case.

Everything listens on loopback addresses. The platform starts the project's programs with the
commands of the deploy file, each with its own address, settings file and data folder. Servers,
operator and clients follow PROTOCOL.md and are plain threads.
"""

from __future__ import annotations

import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, DIRECTORY = 8226, 8227, 8224, 8225
INTERNAL = [7740, 7755]
SERVER_PORT = 8080
METRICS = 9464
HOST = "leno12.example"
ID = "X-Fulmarhold-Attempt-Id"
DEADLINE = "X-Fulmarhold-Request-Deadline"
TARGET = "X-Fulmarhold-Target-Instance"
STAMP = "X-Fulmarhold-Server-Stamp"
NOT_RUN = "X-Fulmarhold-Not-Executed"
INSTANCE = "X-Fulmarhold-Instance-Id"
LIMIT_S = 110.0
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
    "downgradeSlackMs": 250, "maxStretchMs": 12000, "retryBudgetRatio": 0.2, "retryWindowS": 10,
    "retrySlack": 52, "recoveryS": 12, "ttl_max_s": 5,
}  # fmt: skip


class CannotRun(Exception):
    """The case couldn't be set up; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f}  {text}\n")
            self._file.flush()


class Message:
    """One HTTP message as read from a connection; header names are in lower case."""

    def __init__(self, line: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.line = line
        self.headers = headers
        self.body = body
        self.at = time.monotonic()

    def header(self, name: str) -> str:
        values = [value for key, value in self.headers if key == name.lower()]
        return values[-1] if values else ""

    @property
    def status(self) -> int:
        return int(self.line.split(" ")[1])

    @property
    def method(self) -> str:
        return self.line.split(" ")[0]

    @property
    def target(self) -> str:
        return self.line.split(" ")[1]


class Reader:
    """Reads HTTP messages from a socket; returns None at the end of the connection."""

    def __init__(self, connection: socket.socket) -> None:
        self._file = connection.makefile("rb")

    def read_some(self) -> bytes:
        return self._file.read1(65536)

    def read(self) -> Message | None:
        line = self._file.readline()
        if not line.endswith(b"\r\n"):
            return None
        headers: list[tuple[str, str]] = []
        while True:
            field = self._file.readline()
            if not field.endswith(b"\n"):
                return None
            if not field.strip():
                break
            key, _, value = field.decode("latin-1").partition(":")
            headers.append((key.strip().lower(), value.strip()))
        fields = dict(headers)
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(self._file.readline().split(b";")[0] or b"0", 16)
                piece = self._file.read(size + 2)
                if len(piece) < size + 2:
                    return None
                if not size:
                    break
                body += piece[:-2]
        else:
            length = int(fields.get("content-length", "0"))
            body = self._file.read(length)
            if len(body) < length:
                return None
        return Message(line.decode("latin-1").strip(), headers, body)


def encode(line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    fields = {"Content-Length": str(len(body)), **headers}
    head = line + "\r\n" + "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    return head.encode("latin-1") + b"\r\n" + body


def call(
    address: str, port: int, method: str, path: str, body: object = None, timeout: float = 1.0
) -> tuple[int, bytes]:
    """One call of the system's own interfaces; status 0 without a response."""
    data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
    headers = {"Host": f"{address}:{port}", "Connection": "close"}
    if data:
        headers["Content-Type"] = "application/json"
    try:
        with socket.create_connection((address, port), timeout=timeout) as connection:
            connection.settimeout(timeout)
            connection.sendall(encode(f"{method} {path} HTTP/1.1", headers, data))
            answer = Reader(connection).read()
    except (OSError, ValueError):
        return 0, b""
    return (answer.status, answer.body) if answer else (0, b"")


class Process:
    """One machine with one of the project's programs."""

    def __init__(self, fleet: Fleet, role: str, address: str, zone: str) -> None:
        self.fleet, self.role, self.address, self.zone = fleet, role, address, zone
        self.name = f"{role}-{address}"
        self.folder = fleet.folder / self.name
        self.data = self.folder / "data"
        self.popen: subprocess.Popen[bytes] | None = None

    def write_settings(self, *, first: bool) -> Path:
        control = self.role == "control"
        addresses = (
            {"control": f"{self.address}:{CONTROL}"}
            if control
            else {
                "front": f"{self.address}:{FRONT}",
                "readinessAddress": f"{self.address}:{READY}",
                "directory": f"{self.address}:{DIRECTORY}",
            }
        )
        seeds = [f"{item.address}:{CONTROL}" for item in self.fleet.control[:3]]
        settings = {
            "nodeName": self.name, "role": self.role,
            "machineClass": "core" if control else "edge",
            "serves": ["control"] if control else ["edge", "directory"],
            "ip": self.address, "zone": self.zone, "region": "vest-no",
            "zones": dict.fromkeys(self.fleet.zones, "vest-no"),
            "bindAddresses": addresses, "internalPortRange": INTERNAL, "seeds": seeds,
            "bootstrap": first, "failureCounted": control,
            "limits": {
                "cpuShare": 0.645, "cores": 1, "memoryMb": 300, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 128 if control else 0,
            },
            "dataDir": str(self.data) if control else None,
            "discovery": "registry", "entryMode": "directory", "heartbeatMs": 1200,
            "contracts": self.fleet.contracts,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": self.fleet.bounds, "config_mode": "highest",
        }  # fmt: skip
        path = self.folder / "local.json"
        temporary = path.with_suffix(".tmp")
        temporary.write_text(json.dumps(settings))
        temporary.replace(path)
        return path

    def start(self, *, first: bool = False) -> None:
        self.data.mkdir(parents=True, exist_ok=True)
        path = self.write_settings(first=first)
        environment = {
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"), "FULMARHOLD_SETTINGS": str(path),
            "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        with (self.folder / "log").open("ab") as log:
            self.popen = subprocess.Popen(
                self.fleet.commands[self.role], cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip

    def send_signal(self, number: int) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    @property
    def is_running(self) -> bool:
        return self.popen is not None and self.popen.poll() is None


class Fleet:
    """The machines of a small deployment, its servers and its operator."""

    def __init__(
        self,
        record: Record,
        *,
        control: int = 3,
        entries: int = 2,
        zones: tuple[str, ...] = ("vest-no-a", "vest-no-b"),
        bounds: dict[str, object] | None = None,
        contracts: tuple[str, ...] = (),
    ) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {role: deploy["roles"][role]["run"].split() for role in deploy["roles"]}
        self.record, self.zones = record, zones
        self.bounds = {**BOUNDS, **(bounds or {})}
        base = ("base", "drain", "config", "cost", "retry", "recover", "scatter")
        self.contracts = [*base, *contracts]
        self.folder = Path(tempfile.mkdtemp(prefix="fulmarhold-review-"))
        self.network = self._free_network()
        self.control = [
            Process(self, "control", self.address(1 + index), zones[index % len(zones)])
            for index in range(control)
        ]
        self.entries = [
            Process(self, "entry", self.address(50 + index), zones[index % len(zones)])
            for index in range(entries)
        ]
        self.servers: list[Server] = []
        self._server_numbers = itertools.count(100)
        self.version = 0

    def address(self, index: int) -> str:
        return f"127.{self.network}.{index // 250}.{index % 250 + 1}"

    def _free_network(self) -> int:
        """Return a network whose ports are free."""
        for network in random.sample(range(60, 250), 190):
            try:
                for host in (2, 3, 4, 51, 52):
                    for port in (FRONT, READY, CONTROL, DIRECTORY, METRICS, INTERNAL[0]):
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((f"127.{network}.0.{host}", port))
            except OSError:
                continue
            return network
        raise CannotRun("no free ports")

    def start(self) -> None:
        for process in (*self.control, *self.entries):
            process.start(first=True)

    def add_server(
        self, service: str, zone: str = "", like: Server | None = None, muted: bool = False,
        **options: object
    ) -> Server:
        """Start a server; `like` names one that has ended, whose id and address it takes over."""
        address = like.address if like else self.address(next(self._server_numbers))
        server = Server(self, service, address, zone or self.zones[0], **options)  # type: ignore
        if like is not None:
            server.id = like.id
        if muted:
            server.mute()
        self.servers.append(server)
        server.start()
        return server

    def put(self, routes: list[dict[str, object]], limit_s: float = 30.0, **extra: object) -> int:
        """Send a new configuration until it is acknowledged; returns its version."""
        self.version += 1
        names = {
            name
            for route in routes
            for name in (
                *([route["service"]] if "service" in route else []),
                *route.get("shardServices", ()),  # type: ignore[misc]
                *(part["service"] for part in route.get("trafficSplit", ())),  # type: ignore
            )
        }
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health", "maxConnections": 25,
                 "protocol": "h1", "tls": False}
                for name in sorted(names)
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            **extra,
        }  # fmt: skip
        until = time.monotonic() + limit_s
        for attempt in itertools.count():
            process = self.control[attempt % len(self.control)]
            status, body = call(process.address, CONTROL, "PUT", "/api/config", document)
            if status == 200:
                self.record(f"operator: version {self.version} acknowledged by {process.name}")
                return self.version
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"configuration refused: {status} {body!r}")
            if time.monotonic() > until:
                raise CannotRun("no configuration was acknowledged")
            time.sleep(0.2)
        raise AssertionError

    def wait_ready(self, limit_s: float = 30.0) -> None:
        until = time.monotonic() + limit_s
        for entry in self.entries:
            while call(entry.address, READY, "GET", "/api/readiness")[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun(f"{entry.name} is not ready")
                time.sleep(0.1)

    def stop(self) -> None:
        for process in (*self.entries, *self.control):
            process.send_signal(signal.SIGCONT)
            process.kill()
        for server in self.servers:
            server.stop()
        if os.environ.get("KEEP_LOGS"):
            shutil.rmtree(os.environ["KEEP_LOGS"], ignore_errors=True)
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"])
        shutil.rmtree(self.folder, ignore_errors=True)


_numbers = itertools.count(1)


class Server:
    """One server: announces itself, checks the target, bounds its slots and records its runs.

    `answer` is called for each request that runs, in a slot, and returns the bytes of the response,
    or None to close the connection without one.
    """

    def __init__(
        self, fleet: Fleet, service: str, address: str, zone: str, *,
        slots: int = 4, queue: int = 12, work_s: float = 0.01, answer=None,
    ) -> None:  # fmt: skip
        self.fleet, self.service, self.address, self.zone = fleet, service, address, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.answer = answer or self.good
        self.born = int(time.time() * 1000)
        self.id = f"i-{next(_numbers):04x}{random.randrange(16**6):06x}"
        self.state = "ready"
        self.sequence = 0
        self.runs: list[tuple[str, Message]] = []
        self._lock = threading.Lock()
        self._waiting = 0
        self._free = threading.Semaphore(slots)
        self._stopped = threading.Event()
        self._beats = threading.Event()
        self._beats.set()
        self._stamps = itertools.count(1)
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((address, SERVER_PORT))
        self._listener.listen(128)
        self.beat_at: str | None = None
        self.acknowledged = 0

    def start(self) -> None:
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def stop(self) -> None:
        self._stopped.set()
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()

    def beat(self, timeout: float = 1.0) -> bool:
        """Send one heartbeat; returns whether it is acknowledged."""
        self.sequence += 1
        body = {
            "service": self.service, "address": f"{self.address}:{SERVER_PORT}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "warmupLeftMs": 0,
            "sequence": self.sequence, "born": self.born,
        }  # fmt: skip
        addresses = [item.address for item in self.fleet.control]
        random.shuffle(addresses)
        if self.beat_at:
            addresses = [self.beat_at, *(item for item in addresses if item != self.beat_at)]
        for address in addresses:
            path = f"/api/instances/{self.id}"
            status, answer = call(address, CONTROL, "PUT", path, body, timeout)
            if 200 <= status < 300 and len(answer) <= 4096:
                named = json.loads(answer).get("heartbeatAddress") if answer else None
                self.beat_at = named.rpartition(":")[0] if named else None
                self.acknowledged += 1
                return True
            self.beat_at = None
        return False

    def mute(self) -> None:
        """Send no further heartbeats."""
        self._beats.clear()

    def unmute(self) -> None:
        """Send heartbeats again."""
        self._beats.set()

    def leave(self) -> bool:
        """Deregister, at the address for heartbeats first; returns whether it is acknowledged."""
        self._beats.clear()
        addresses = [item.address for item in self.fleet.control]
        random.shuffle(addresses)
        if self.beat_at:
            addresses = [self.beat_at, *(item for item in addresses if item != self.beat_at)]
        for address in addresses:
            status, _ = call(
                address, CONTROL, "DELETE", f"/api/instances/{self.id}", {"born": self.born}
            )
            self.fleet.record(f"server {self.id}: DELETE at {address}: {status or 'no response'}")
            if 200 <= status < 300:
                return True
        return False

    def _beat(self) -> None:
        while not self._stopped.is_set():
            if self._beats.is_set():
                self.beat()
            self._stopped.wait(1.2)

    def _accept(self) -> None:
        while not self._stopped.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with connection:
                reader = Reader(connection)
                while (request := reader.read()) is not None and not self._stopped.is_set():
                    response = self._respond(request)
                    if response is None:
                        return
                    connection.sendall(response)
        except (OSError, ValueError):
            return

    def _respond(self, request: Message) -> bytes | None:
        if request.target == "/health":
            return encode("HTTP/1.1 200 OK", {INSTANCE: self.id})
        echo = {ID: request.header(ID)}
        if not request.header(ID):
            return encode("HTTP/1.1 400 Bad Request", {NOT_RUN: "1"})
        if request.header(TARGET) not in ("", self.id):
            fields = {**echo, NOT_RUN: "1", INSTANCE: self.id}
            return encode("HTTP/1.1 421 Misdirected Request", fields)
        with self._lock:
            if self._waiting >= self.slots + self.queue:
                return encode("HTTP/1.1 503 Service Unavailable", {**echo, NOT_RUN: "1"})
            self._waiting += 1
        try:
            with self._free:
                left = int(request.header(DEADLINE) or 600_000) / 1000
                if time.monotonic() > request.at + left:
                    return encode("HTTP/1.1 503 Service Unavailable", {**echo, NOT_RUN: "1"})
                with self._lock:
                    self.runs.append((request.header(ID), request))
                self.fleet.record(
                    f"server {self.id} ({self.service}): runs {request.line!r} id "
                    f"{request.header(ID)}"
                )
                return self.answer(self, request)
        finally:
            with self._lock:
                self._waiting -= 1

    def good(self, _: Server, request: Message, body: bytes = b"done") -> bytes:
        time.sleep(self.work_s)
        return self.encode_answer(request, "200 OK", body)

    def encode_answer(
        self, request: Message, status: str, body: bytes = b"", stamp: bool = True,
        headers: dict[str, str] | None = None,
    ) -> bytes:  # fmt: skip
        fields = {ID: request.header(ID), **(headers or {})}
        if stamp:
            fields[STAMP] = f"{self.id}.{next(self._stamps):x}.{request.header(ID)}"
        return encode(f"HTTP/1.1 {status}", fields, body)


class Client:
    """A client with one connection to an entry, which it keeps as long as it is open."""

    def __init__(self, fleet: Fleet, entry: Process) -> None:
        self.fleet, self.entry = fleet, entry
        self._connection: socket.socket | None = None
        self._reader: Reader | None = None

    @property
    def is_open(self) -> bool:
        return self._connection is not None

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def receive_rest(self, wait_s: float) -> bytes:
        """Return the bytes that come without a further request, until the end or `wait_s`."""
        if self._connection is None or self._reader is None:
            return b""
        self._connection.settimeout(wait_s)
        try:
            return self._reader.read_some()
        except OSError:
            return b""
        finally:
            self.close()

    def send(
        self, method: str, path: str, *, deadline_ms: int = 4000, body: bytes = b"",
        host: str = HOST, headers: dict[str, str] | None = None, log: bool = True,
    ) -> tuple[str, int, Message | None]:  # fmt: skip
        """Send a request; returns its id, the status (0 without a whole answer) and the answer."""
        request_id = f"{random.randrange(16**16):016x}"
        fields = {"Host": host, ID: request_id, DEADLINE: str(deadline_ms), **(headers or {})}
        answer: Message | None = None
        try:
            if self._connection is None:
                self._connection = socket.create_connection((self.entry.address, FRONT), 1.0)
                self._connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._reader = Reader(self._connection)
            self._connection.settimeout(deadline_ms / 1000 + 0.6)
            self._connection.sendall(encode(f"{method} {path} HTTP/1.1", fields, body))
            assert self._reader is not None
            answer = self._reader.read()
        except (OSError, ValueError):
            answer = None
        if answer is None or answer.header("connection").lower() == "close":
            self.close()
        status = answer.status if answer else 0
        if log:
            stamp = answer.header(STAMP) if answer else ""
            self.fleet.record(
                f"client: {method} {path} id {request_id} to {self.entry.name}: "
                f"{status or 'no answer'} stamp {stamp or '-'} "
                f"body {(answer.body[:60] if answer else b'')!r}"
            )
        return request_id, status, answer


def route(name: str, prefix: str, service: str, *, kind: str = "idempotent", **extra: object):
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "routeType": kind, "timeoutMs": 4000,
        "targetLatencyMs": 346, "priority": 2, "service": service, "maxAttempts": 2, **extra,
    }  # fmt: skip


def main(run) -> None:
    """Run a case: `run(fleet-less record, trouble)` returns the sentences that tell what broke."""
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    timer = threading.Timer(LIMIT_S, lambda: record("stopped: took too long"))
    timer.daemon = True
    timer.start()
    signal.signal(signal.SIGALRM, _too_late)
    signal.signal(signal.SIGTERM, _too_late)
    signal.alarm(int(LIMIT_S))
    try:
        broken = run(record, trouble)
    except CannotRun as error:
        record(f"couldn't run: {error}")
        print(f"couldn't run: {error}")
        sys.exit(2)
    for sentence in broken:
        record(f"BROKEN: {sentence}")
        print(f"BROKEN: {sentence}")
    record(f"trouble {int(trouble)}: {'broken' if broken else 'held'}")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)


def _too_late(*_: object) -> None:
    raise CannotRun("took too long, or was ended")
