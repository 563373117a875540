"""Starts a fleet for one questionnaire: control, entries and stand-in upstreams."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

import gevent
from geventhttpclient import HTTPClient

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.fleet.ports import LOOPBACK, PortAllocator
from fulmarhold.fleet.processes import START_PATIENCE, FleetProcess, await_condition
from fulmarhold.operators.commands.clusters import form_cluster
from fulmarhold.operators.commands.configurations import accept_configuration
from fulmarhold.questionnaire.derive import derive_configuration
from fulmarhold.standin.behaviour import Behaviour
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from pathlib import Path

    from fulmarhold.questionnaire.schema import Questionnaire, ServiceAnswers

FIRST_LAYOUT = "layout-1"
FIRST_VERSION = 1


@dataclass(frozen=True)
class FleetPlan:
    """What to start."""

    questionnaire: Questionnaire
    services: tuple[str, ...] = ()
    standin_processes: int = 3
    behaviour: Behaviour = field(default_factory=Behaviour)
    seed: int = 1
    log_level: str = "info"
    entry_module: str = "fulmarhold.entry"
    entry_options: dict[str, Any] = field(default_factory=dict)


class Fleet:
    """The processes of one fleet under one folder."""

    def __init__(self, folder: Path, plan: FleetPlan) -> None:
        self.folder = folder
        self.plan = plan
        self.configuration = derive_configuration(plan.questionnaire)
        self._ports = PortAllocator()
        folder.mkdir(parents=True, exist_ok=True)
        self.control = [
            self.make_control(number) for number in range(plan.questionnaire.control_instances)
        ]
        self.entries = [self._make_entry(number) for number in range(plan.questionnaire.entries)]
        self.upstreams: dict[str, list[str]] = {}
        self.standins = self._make_standins()

    @property
    def processes(self) -> list[FleetProcess]:
        return [*self.standins, *self.entries, *self.control]

    @property
    def operator_endpoints(self) -> list[str]:
        return [process.endpoint for process in self.control]

    @property
    def entry_endpoints(self) -> list[str]:
        return [process.endpoint for process in self.entries]

    def start(self) -> None:
        """Start everything, form the cluster, accept the configuration and await readiness."""
        for process in [*self.control, *self.entries, *self.standins]:
            process.start()
        for process in self.control:
            process.await_answer()
        form_cluster(self.operator_endpoints)
        accept_configuration(self.operator_endpoints, self.configuration, 0, "fleet")
        for process in self.entries:
            process.await_answer(status=200)
        self.await_ready()

    def await_ready(self) -> None:
        """Wait until every running entry serves and knows every upstream."""
        expected = sum(len(addresses) for addresses in self.upstreams.values())
        running = [entry for entry in self.entries if entry.is_running]

        def is_ready() -> bool:
            return all(
                read_metrics(entry.endpoint).get("fulmarhold_entry_upstreams") == expected
                for entry in running
            ) and all(len(self.instances(entry.endpoint)) == len(running) for entry in running)

        await_condition(is_ready, "every entry to know every upstream", START_PATIENCE)

    def instances(self, endpoint: str) -> list[str]:
        """Return the addresses that an entry gives to callers."""
        addresses: list[str] = request_json(endpoint, "GET", "/instances").body["addresses"]
        return addresses

    def command(self, command: str, addresses: list[str], **arguments: Any) -> None:
        """Give a command to stand-in upstreams."""
        for standin in self.standins:
            own = [item for item in addresses if item in self._carried[standin.name]]
            if own:
                body = {"command": command, "addresses": own, "arguments": arguments}
                response = request_json(standin.endpoint, "POST", "/command", body=body)
                assert response.status == 200, response.body

    def report(self) -> dict[str, Any]:
        """Return what every stand-in upstream ran, by address."""
        reports: dict[str, Any] = {}
        for standin in self.standins:
            if standin.is_running:
                reports.update(request_json(standin.endpoint, "GET", "/report").body)
        return reports

    def effects(self) -> dict[str, int]:
        """Return how often each idempotency key took effect, over all upstreams."""
        totals: dict[str, int] = {}
        for report in self.report().values():
            for key, count in report["effects"].items():
                totals[key] = totals.get(key, 0) + count
        return totals

    def stop(self) -> list[str]:
        """Stop everything gracefully; returns the names of processes that did not end well."""
        for group in (self.entries, self.control, self.standins):
            stopping = [process for process in group if process.is_running]
            for process in stopping:
                process.terminate()
            for process in stopping:
                process.await_exit()
        return [process.name for process in self.processes if process.exit_code not in (0, None)]

    def kill(self) -> None:
        """End everything at once."""
        for process in self.processes:
            process.thaw()
            process.kill()

    def make_control(self, number: int, folder: str = "") -> FleetProcess:
        """Return a control process that was not started yet."""
        name = f"control-{number + 1}"
        centres = self.plan.questionnaire.data_centres
        settings = {
            "name": name,
            "data_centre": centres[number % len(centres)],
            "address": LOOPBACK,
            "operator_port": self._ports.allocate(),
            "peer_port": self._ports.allocate(),
            "data_folder": str(self.folder / (folder or name)),
            "log": {"level": self.plan.log_level},
        }
        endpoint = f"{LOOPBACK}:{settings['operator_port']}"
        return FleetProcess("fulmarhold.control", name, self.folder, settings, endpoint)

    def _make_entry(self, number: int) -> FleetProcess:
        name = f"entry-{number + 1}"
        centres = self.plan.questionnaire.data_centres
        settings = {
            "name": name,
            "data_centre": centres[number % len(centres)],
            "address": LOOPBACK,
            "caller_port": self._ports.allocate(),
            "peer_port": self._ports.allocate(),
            "control": [f"{LOOPBACK}:{item.settings['peer_port']}" for item in self.control],
            "log": {"level": self.plan.log_level},
            **self.plan.entry_options,
        }
        endpoint = f"{LOOPBACK}:{settings['caller_port']}"
        return FleetProcess(self.plan.entry_module, name, self.folder, settings, endpoint)

    def _make_standins(self) -> list[FleetProcess]:
        servers: list[dict[str, Any]] = []
        for service in self.plan.questionnaire.services:
            if not self.plan.services or service.name in self.plan.services:
                servers.extend(self._make_servers(service))
        count = self.plan.standin_processes
        self._carried: dict[str, set[str]] = {}
        return [self._make_standin(number, servers[number::count]) for number in range(count)]

    def _make_servers(self, service: ServiceAnswers) -> list[dict[str, Any]]:
        servers = []
        for number in range(service.servers):
            address = self._ports.allocate_endpoint()
            self.upstreams.setdefault(service.name, []).append(address)
            record = {
                "service": service.name,
                "shard": number % service.shards,
                "layout": FIRST_LAYOUT,
                "layout_shards": service.shards,
                "versions": [FIRST_VERSION],
                "address": address,
                "incarnation": 1,
                "sequence": 0,
                "slots": service.slots,
                "connection_limit": service.connections,
                "state": "serving",
            }
            servers.append({"record": record, "connection_cost_ms": service.connection_cost_ms})
        return servers

    def _make_standin(self, number: int, servers: list[dict[str, Any]]) -> FleetProcess:
        name = f"standin-{number + 1}"
        self._carried[name] = {server["record"]["address"] for server in servers}
        centres = self.plan.questionnaire.data_centres
        port = self._ports.allocate()
        settings = {
            "address": LOOPBACK,
            "command_port": port,
            "data_centre": centres[number % len(centres)],
            "entries": self.entry_endpoints,
            "servers": servers,
            "seed": self.plan.seed + number,
            "behaviour": asdict(self.plan.behaviour),
            "log": {"level": self.plan.log_level},
        }
        return FleetProcess("fulmarhold.standin", name, self.folder, settings, f"{LOOPBACK}:{port}")


def read_metrics(endpoint: str) -> dict[str, float]:
    """Return the metrics of a daemon by name with labels, empty when it does not answer."""
    address, _, port = endpoint.rpartition(":")
    client = HTTPClient(address, port=int(port), connection_timeout=1.0, network_timeout=2.0)
    try:
        text = client.get("/metrics").read().decode()
    except Exception:
        return {}
    finally:
        client.close()
    lines = (line.rpartition(" ") for line in text.splitlines() if not line.startswith("#"))
    return {name: float(value) for name, _, value in lines}


def sleep_ms(duration: Milliseconds) -> None:
    """Let the fleet run for `duration` milliseconds."""
    gevent.sleep(duration / SECOND)
