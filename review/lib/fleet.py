"""Starts the programs of the deploy file as separate processes on loopback addresses.

Stand-ins for the platform, the operator, servers and clients, written from the users' pages. Only
the standard library is used. Everything that is sent, answered and run goes to the record.
"""

from __future__ import annotations

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
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

ATTEMPT_ID = "X-Fulmarhold-Attempt-Id"
DEADLINE = "X-Fulmarhold-Request-Deadline"
TARGET = "X-Fulmarhold-Target-Instance"
STAMP = "X-Fulmarhold-Server-Stamp"
NOT_EXECUTED = "X-Fulmarhold-Not-Executed"
INSTANCE = "X-Fulmarhold-Instance-Id"

HOST = "leno12.example"
# Figures of sites/pctr-fulmarhold.toml, as SYSTEM.md gives them.
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
    "downgradeSlackMs": 250, "maxStretchMs": 12000, "retryBudgetRatio": 0.2, "retryWindowS": 10,
    "retrySlack": 58, "recoveryS": 12, "ttl_max_s": 5,
}  # fmt: skip
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
LIMITS = {
    "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}  # fmt: skip


class Record:
    """The record of a run; times are seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def __call__(self, text: str) -> float:
        at = self.now()
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{at:9.3f} {text}\n")
                self._file.flush()
        return at

    def close(self) -> None:
        with self._lock:
            self._file.close()


class Process:
    """One machine with one role; a supervisor restarts it when its process ends by itself."""

    def __init__(self, fleet: Fleet, role: str, number: int, address: str, zone: str) -> None:
        self.fleet, self.role, self.address, self.zone = fleet, role, address, zone
        self.name = f"{role}-{zone}-{number}"
        self.folder = fleet.folder / self.name
        self.should_run = False
        self.ends: list[float] = []
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        return self._popen is not None and self._popen.poll() is None

    def start(self, *, bootstrap: bool) -> None:
        data = self.folder / "data"
        data.mkdir(parents=True, exist_ok=True)
        settings = self.folder / "local.json"
        settings.write_text(json.dumps(self.fleet.settings(self, bootstrap=bootstrap)))
        command = self.fleet.commands[self.role]
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["FULMARHOLD_SETTINGS"] = str(settings)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / "log").open("ab") as log:
            self._popen = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.should_run = True
        self.fleet.record(f"platform starts {self.name} pid {self._popen.pid} bootstrap {bootstrap}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it runs."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.should_run = False
        if self._popen is not None and self.is_running:
            self.fleet.record(f"platform sends {number.name} to {self.name}")
            self._popen.send_signal(number)

    def wait(self, timeout: float) -> int | None:
        """Return the exit code, or `None` if the process still runs after `timeout` seconds."""
        if self._popen is None:
            return 0
        try:
            return self._popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def supervise(self) -> None:
        """Restart the process after a short delay if it ended by itself."""
        if self.should_run and not self.is_running and self._popen is not None:
            at = self.fleet.record(f"{self.name} ended by itself with {self._popen.poll()}")
            self.ends.append(at)
            time.sleep(RESTART_DELAY_S)
            if self.should_run and not self.fleet.is_stopping:
                self.start(bootstrap=False)


class Fleet:
    """The processes of a small deployment, and the platform that runs them."""

    def __init__(self, folder: Path, zones: tuple[str, ...], control: int, entries: int) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="fulmarhold-review-"))
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {role: item["run"].split() for role, item in roles.items()}
        self.zones = zones
        self.network = _free_network()
        self.ports = {"front": 8226, "readiness": 8227, "control": 8224, "directory": 8225}
        self.is_stopping = False
        self.control = [
            Process(self, "control", index, self.address(1 + index), zones[index % len(zones)])
            for index in range(control)
        ]
        self.entries = [
            Process(self, "entry", index, self.address(31 + index), zones[index % len(zones)])
            for index in range(entries)
        ]
        self.servers: list[Server] = []
        # The attempt id and the server of each run, in the order in which they began.
        self.runs: list[tuple[str, str]] = []
        self._threads: list[threading.Thread] = []

    @property
    def processes(self) -> list[Process]:
        return [*self.control, *self.entries]

    def address(self, host: int) -> str:
        return f"{self.network}.{host}"

    def settings(self, process: Process, *, bootstrap: bool) -> dict[str, object]:
        """Return a settings file as DEPLOY.md shows it."""
        ip, is_control = process.address, process.role == "control"
        addresses = (
            {"control": f"{ip}:{self.ports['control']}"}
            if is_control
            else {
                "front": f"{ip}:{self.ports['front']}",
                "readinessAddress": f"{ip}:{self.ports['readiness']}",
                "directory": f"{ip}:{self.ports['directory']}",
            }
        )
        return {
            "nodeName": process.name,
            "role": process.role,
            "machineClass": "core" if is_control else "edge",
            "serves": ["control"] if is_control else ["edge", "directory"],
            "ip": ip,
            "zone": process.zone,
            "region": "wcape",
            "zones": {zone: "wcape" for zone in self.zones},
            "bindAddresses": addresses,
            "internalPortRange": [7740, 7755],
            "seeds": [f"{item.address}:{self.ports['control']}" for item in self.control[:3]],
            "bootstrap": bootstrap,
            "failureCounted": is_control,
            "limits": {
                "cpuShare": 0.645, "cores": 1, "memoryMb": 296, "maxFds": 4096,
                "linkMbps": 1000.0, "diskMb": 128 if is_control else 0,
            },
            "dataDir": str(process.folder / "data") if is_control else None,
            "discovery": "registry",
            "entryMode": "directory",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
        }  # fmt: skip

    def start(self) -> None:
        """Start all processes at once, with supervisors."""
        for process in self.processes:
            process.start(bootstrap=True)
        for process in self.processes:
            self.run_thread(lambda process=process: self._supervise(process))

    def run_thread(self, run: object) -> None:
        thread = threading.Thread(target=run, daemon=True)  # type: ignore[arg-type]
        thread.start()
        self._threads.append(thread)

    def _supervise(self, process: Process) -> None:
        while not self.is_stopping:
            time.sleep(0.02)
            process.supervise()

    def stop(self) -> None:
        """End every process that was started, and remove the temporary folder."""
        self.is_stopping = True
        for process in self.processes:
            process.should_run = False
            if process._popen is not None and process.is_running:
                process._popen.kill()
        for process in self.processes:
            process.wait(10)
        for server in self.servers:
            server.stop()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # The operator

    def control_endpoints(self) -> list[tuple[str, int]]:
        return [(item.address, self.ports["control"]) for item in self.control]

    def put_configuration(self, document: dict[str, object], for_s: float) -> float | None:
        """Send a configuration to any node until it is acknowledged; return the time of that."""
        body = json.dumps(document).encode()
        until = self.record.now() + for_s
        pause = 0.1
        while self.record.now() < until and not self.is_stopping:
            endpoint = random.choice(self.control_endpoints())
            status = call(endpoint, "PUT", "/api/config", body, timeout=1.0)[0]
            at = self.record(
                f"operator: PUT version {document['version']} at {endpoint[0]}: {status}"
            )
            if status == 200:
                return at
            if status in (400, 409, 412, 413, 422):
                return None
            time.sleep(pause)
            pause = min(1.0, 1.5 * pause)
        return None

    def wait_until_served(self, path: str, for_s: float) -> bool:
        """Wait until every entry serves a request on `path` twice in a row."""
        until = self.record.now() + for_s
        served = 0
        while self.record.now() < until:
            answers = [
                send(Connection((item.address, self.ports["front"])), "GET", path, 3000)
                for item in self.entries
            ]
            served = served + 1 if all(answer.status == 200 for answer in answers) else 0
            if served == 2:
                return True
            time.sleep(0.2)
        return False


class Server:
    """A sound server: `slots` requests at once, a queue, heartbeats at the control address."""

    def __init__(
        self, fleet: Fleet, service: str, host: int, zone: str, *, slots: int = 2, queued: int = 8,
        work_s: float = 0.02,
    ) -> None:  # fmt: skip
        self.fleet, self.service, self.zone, self.work_s = fleet, service, zone, work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.name = f"i-{service}-{host}"
        self._capacity = slots + queued
        self._open = 0
        self._lock = threading.Lock()
        self._running = threading.Semaphore(slots)
        self._sequence = 0
        self._stamps = 0
        self.is_stopped = False
        self._socket = socket.create_server((fleet.address(host), 0), backlog=128)
        self.address = f"{fleet.address(host)}:{self._socket.getsockname()[1]}"
        fleet.servers.append(self)
        fleet.run_thread(self._accept)
        fleet.run_thread(self._beat)

    def stop(self) -> None:
        self.is_stopped = True
        self._socket.close()

    def heartbeat(self) -> dict[str, object]:
        self._sequence += 1
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "warmupLeftMs": 0, "sequence": self._sequence,
            "born": self.born,
        }  # fmt: skip

    def _beat(self) -> None:
        endpoint: tuple[str, int] | None = None
        while not self.is_stopped:
            body = json.dumps(self.heartbeat()).encode()
            endpoint = send_heartbeat(self.fleet, self.name, body, endpoint)
            time.sleep(HEARTBEAT_S)

    def _accept(self) -> None:
        while not self.is_stopped:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.fleet.run_thread(lambda connection=connection: self._serve(connection))

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = connection.makefile("rb")
        try:
            while message := read_message(file):
                self._answer(connection, *message)
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def _answer(
        self, connection: socket.socket, line: str, fields: dict[str, str], body: bytes
    ) -> None:
        attempt = fields.get(ATTEMPT_ID.lower(), "")
        if fields.get(TARGET.lower(), self.name) != self.name:
            self._send(connection, 421, {NOT_EXECUTED: "1", INSTANCE: self.name}, b"")
            return
        with self._lock:
            is_full = self._open >= self._capacity
            self._open += 0 if is_full else 1
        if is_full:
            self._send(connection, 503, {NOT_EXECUTED: "1", ATTEMPT_ID: attempt}, b"")
            return
        try:
            with self._running:
                self.fleet.record(f"server {self.name} runs {attempt}: {line}")
                self.fleet.runs.append((attempt, self.name))
                time.sleep(self.work_s)
        finally:
            with self._lock:
                self._open -= 1
                self._stamps += 1
                stamp = f"{self.name}.{self._stamps}"
        self.fleet.record(f"server {self.name} answers {attempt} with {stamp}")
        self._send(connection, 200, {STAMP: stamp, ATTEMPT_ID: attempt}, attempt.encode() * 20)

    def _send(
        self, connection: socket.socket, status: int, fields: dict[str, str], body: bytes
    ) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", "Keep-Alive: timeout=15"]
        lines += [f"{key}: {value}" for key, value in fields.items()]
        connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def send_heartbeat(
    fleet: Fleet, name: str, body: bytes, endpoint: tuple[str, int] | None
) -> tuple[str, int] | None:
    """Send a heartbeat to the last node that took one, then to others; return who took it."""
    others = fleet.control_endpoints()
    random.shuffle(others)
    for node in [*([endpoint] if endpoint else []), *others]:
        if fleet.is_stopping:
            return None
        status, answer = call(node, "PUT", f"/api/instances/{name}", body, timeout=1.0)
        if status == 200:
            try:
                named = json.loads(answer).get("heartbeatAddress")
            except ValueError:
                named = None
            if named:
                address, _, port = named.rpartition(":")
                return address, int(port)
            return node
    return None


class Answer:
    """What a client got: `status` is 0 if the connection ended without a complete answer."""

    def __init__(self, status: int, fields: dict[str, str], body: bytes, note: str = "") -> None:
        self.status, self.fields, self.body, self.note = status, fields, body, note


class Connection:
    """A client's connection, which it may use for several requests."""

    def __init__(self, endpoint: tuple[str, int], timeout: float = 1.0) -> None:
        self.error = ""
        try:
            self.socket: socket.socket | None = socket.create_connection(endpoint, timeout)
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.file = self.socket.makefile("rb")
        except OSError as error:
            self.socket, self.error = None, str(error)

    def exchange(self, data: bytes, timeout: float) -> Answer:
        """Send one request and read its answer."""
        if self.socket is None:
            return Answer(0, {}, b"", f"not connected: {self.error}")
        try:
            self.socket.settimeout(timeout)
            self.socket.sendall(data)
            message = read_message(self.file)
        except TimeoutError:
            self.close()
            return Answer(0, {}, b"", "no answer in time")
        except (OSError, ValueError) as error:
            self.close()
            return Answer(0, {}, b"", f"connection lost: {error}")
        if message is None:
            self.close()
            return Answer(0, {}, b"", "connection closed without an answer")
        line, fields, body = message
        if fields.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(line.split(" ")[1]), fields, body)

    def close(self) -> None:
        if self.socket is not None:
            self.file.close()
            self.socket.close()
            self.socket = None
            self.error = "closed before"


_numbers = iter(range(1, 1 << 30))


def new_attempt() -> str:
    return f"a{next(_numbers):07d}"


def request_bytes(method: str, path: str, attempt: str, deadline_ms: int, body: bytes) -> bytes:
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: {attempt}\r\n"
        f"{DEADLINE}: {deadline_ms}\r\n"
    )
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    return f"{head}{length}\r\n".encode() + body


def send(
    connection: Connection, method: str, path: str, deadline_ms: int, *, attempt: str = "",
    body: bytes = b"",
) -> Answer:  # fmt: skip
    """Send one request on a connection and return the answer."""
    attempt = attempt or new_attempt()
    data = request_bytes(method, path, attempt, deadline_ms, body)
    return connection.exchange(data, deadline_ms / 1000 + 0.5)


def call(
    endpoint: tuple[str, int], method: str, path: str, body: bytes, timeout: float
) -> tuple[int, bytes]:
    """Make one call on a new connection; the status is 0 without a complete answer."""
    connection = Connection(endpoint, timeout)
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {endpoint[0]}\r\nContent-Type: application/json\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    answer = connection.exchange(head.encode() + body, timeout)
    connection.close()
    return answer.status, answer.body


def read_message(file: object) -> tuple[str, dict[str, str], bytes] | None:
    """Read one message with a length; `None` at the end, `ValueError` if it breaks off."""
    line = file.readline()  # type: ignore[attr-defined]
    if not line:
        return None
    fields: dict[str, str] = {}
    while (field := file.readline()).strip():  # type: ignore[attr-defined]
        key, _, value = field.decode("latin-1").partition(":")
        fields[key.strip().lower()] = value.strip()
    if not field:
        raise ValueError("the head breaks off")
    length = int(fields.get("content-length", "0"))
    body = file.read(length)  # type: ignore[attr-defined]
    if len(body) < length:
        raise ValueError("the body breaks off")
    return line.decode("latin-1").strip(), fields, body


def configuration(version: int, routes: list[dict[str, object]], limit: int = 110) -> dict:
    """Return a configuration document for routes to single services."""
    services = sorted({str(route["service"]) for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": limit, "protocol": "h1",
             "tls": False}
            for name in services
        ],
        "limits": LIMITS,
    }  # fmt: skip


def route(
    name: str, prefix: str, service: str, *, route_type: str = "idempotent", timeout_ms: int = 15000
) -> dict[str, object]:
    return {
        "name": name, "host": HOST, "pathPrefix": prefix, "routeType": route_type,
        "timeoutMs": timeout_ms, "targetLatencyMs": 800, "priority": 1, "service": service,
        "maxAttempts": 2,
    }  # fmt: skip


def _free_network() -> str:
    """Return the first three numbers of a loopback network in which nothing listens."""
    for _ in range(50):
        network = f"127.{random.randrange(40, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (7740, 8224, 8225, 8226, 8227, 9464):
                for host in (1, 2, 3, 4, 31, 32, 33):
                    socket.create_server((f"{network}.{host}", port)).close()
        except OSError:
            continue
        return network
    raise SystemExit(COULD_NOT_RUN)


def main(run: object, folder: Path, *, zones: tuple[str, ...], control: int, entries: int) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    fleet = Fleet(folder, zones, control, entries)
    code = COULD_NOT_RUN
    try:
        fleet.record(f"disruption: {'yes' if TROUBLE else 'no'}")
        code = run(fleet)  # type: ignore[operator]
    except Exception as error:
        fleet.record(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        fleet.stop()
        fleet.record(f"exit {code}")
        fleet.record.close()
    sys.stdout.flush()
    os._exit(code)


