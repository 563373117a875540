"""Environment of one soak: control and entry processes, upstreams, proxies and callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore
from gevent.pool import Group

from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.errors import FulmarholdError, PeerUnavailable
from fulmarhold.platform.encoding import CALLER_PORT, CONTROL_PORT, DIRECTORY_PORT
from fulmarhold.soak.callers import Caller, CallerConnection
from fulmarhold.soak.checks import VERSION_ROUTE_PREFIX
from fulmarhold.soak.kinds import ALL, EFFECT, ONE, QUICK_KINDS, SLOW_KINDS, RequestKind
from fulmarhold.soak.observations import Observations
from fulmarhold.soak.operator import ALL_SERVICES, SHARD_SETS, Operator
from fulmarhold.soak.processes import Instance
from fulmarhold.soak.proxy import Proxy
from fulmarhold.soak.upstream import SoakUpstream

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path
    from random import Random

HEARTBEAT_PERIOD: Milliseconds = 300.0
UPSTREAM_PORT = 8300
DATA_CENTRES = ("a", "b")
# First address index of each kind of endpoint; see `Environment.address`.
CONTROL_BASE, ENTRY_BASE, PROXY_BASE, UPSTREAM_BASE, PUBLIC_BASE = 1, 20, 120, 1_000, 6_000
ADDRESSES_PER_SUBNET = 250
FIRST_NETWORK, NETWORK_COUNT = 60, 190
START_TIMEOUT: Milliseconds = 30_000.0
POLL_INTERVAL: Milliseconds = 100.0
PAUSE_RESOLUTION: Milliseconds = 10.0
RESTART_DELAY: Milliseconds = 300.0
# For this long after a fault, a process may exit without a violation.
FAULT_EXIT_WINDOW: Milliseconds = 3_000.0
# Faults that must not end a process.
HARMLESS_FAULTS = ("full disk",)


@dataclass(frozen=True)
class FleetSizes:
    """Number of processes, upstreams per service, and callers in a soak.

    Besides these callers, twice as many send requests that take long.
    """

    control: int = 3
    entries: int = 3
    replicas: int = 2
    callers: int = 6


class UpstreamHost:
    """An address, with a proxy in front, where successive incarnations of upstreams run."""

    def __init__(self, environment: Environment, index: int, service: str) -> None:
        self._environment = environment
        self._listen = (environment.address(UPSTREAM_BASE + index), UPSTREAM_PORT)
        self.public_endpoint = (environment.address(PUBLIC_BASE + index), UPSTREAM_PORT)
        self.service = service
        self.proxy = Proxy(self.public_endpoint, self._listen)
        self.lock = BoundedSemaphore(1)
        self.upstream = self.start(service)

    @property
    def name(self) -> str:
        return f"place-{self.public_endpoint[0]}"

    def start(self, service: str) -> SoakUpstream:
        """Start a new upstream of a service at this address."""
        self.service = service
        environment = self._environment
        self.upstream = SoakUpstream(
            service, self._listen, f"{self.public_endpoint[0]}:{self.public_endpoint[1]}",
            _data_centre_of(service), environment.control_endpoints, HEARTBEAT_PERIOD,
            environment.observations, environment.random,
        )  # fmt: skip
        return self.upstream


def _data_centre_of(service: str) -> str:
    """Return where upstreams of a service are: one set of shards is away from most entries.

    Entries elsewhere then get its parts through an entry beside it.
    """
    return DATA_CENTRES[1] if service in SHARD_SETS[1] else DATA_CENTRES[0]


class Environment:
    """Everything that one soak runs, and its observations."""

    def __init__(self, folder: Path, seed: int, random: Random, sizes: FleetSizes) -> None:
        self.clock = Clock()
        self.random = random
        self.observations = Observations(self.clock)
        self._network = FIRST_NETWORK + seed % NETWORK_COUNT
        seeds = tuple(self.address(CONTROL_BASE + index) for index in range(min(3, sizes.control)))
        self.control = [
            self._instance("control", CONTROL_BASE + index, index, seeds, folder)
            for index in range(sizes.control)
        ]
        self.entries = [
            self._instance("entry", ENTRY_BASE + index, index, seeds, folder)
            for index in range(sizes.entries)
        ]
        self.observations.control_names = tuple(instance.name for instance in self.control)
        # Held while a fault affects control: one instance at a time may be down or wiped.
        self.control_lock = BoundedSemaphore(1)
        self.entry_proxies = {
            entry.name: Proxy(
                (self.address(PROXY_BASE + index), CALLER_PORT), (entry.address, CALLER_PORT)
            )
            for index, entry in enumerate(self.entries)
        }
        self._by_endpoint = {f"{entry.address}:{CALLER_PORT}": entry for entry in self.entries}
        self.operator = Operator(self)
        self.upstream_hosts: list[UpstreamHost] = []
        self._sizes = sizes
        self._greenlets = Group()

    def address(self, index: int) -> str:
        """Return the loopback address with the given index in this soak's network."""
        subnet, host = divmod(index, ADDRESSES_PER_SUBNET)
        return f"127.{self._network}.{subnet}.{host + 1}"

    def start(self, first_fault: Callable[[Environment], None] | None = None) -> None:
        """Start the fleet, wait until it is healthy, then start callers, probes and supervision.

        `first_fault` happens while the fleet starts.
        """
        for instance in (*self.control, *self.entries):
            instance.start(is_first_start=True)
        if first_fault is not None:
            self.spawn(first_fault, self)
        self.operator.store_next()
        services = [name for name in ALL_SERVICES for _ in range(self._sizes.replicas)]
        for index, service in enumerate(services):
            self.upstream_hosts.append(UpstreamHost(self, index, service))
        self.wait_until_healthy(START_TIMEOUT)
        for kinds in (QUICK_KINDS, SLOW_KINDS, SLOW_KINDS):
            for _ in range(self._sizes.callers):
                self.spawn(Caller(self, self.random, kinds).run)
        self.spawn(self.operator.run)
        for entry in self.entries:
            self.spawn(self._probe, entry)
        self.spawn(self._supervise)
        self.spawn(self._observe_pauses)

    def spawn(self, run: Callable[..., None], *arguments: object) -> gevent.Greenlet:
        """Run something that ends with this soak at the latest."""
        return self._greenlets.spawn(run, *arguments)

    def wait_until_healthy(self, timeout: Milliseconds) -> None:
        """Wait until entries respond completely and control instances return the newest version.

        Raises `FulmarholdError` with the remaining problem after `timeout` ms.
        """
        until = self.clock.now() + timeout
        problem = "not checked yet"
        while problem:
            if self.clock.now() > until:
                raise FulmarholdError(f"not healthy after {timeout:.0f} ms: {problem}", step="soak")
            gevent.sleep(POLL_INTERVAL / SECOND)
            problem = self._find_problem()

    def connect(self, endpoint: str) -> CallerConnection:
        """Connect to an entry through its proxy."""
        entry = self._by_endpoint[endpoint]
        index = self.entries.index(entry)
        return CallerConnection(entry, (self.address(PROXY_BASE + index), CALLER_PORT))

    def control_endpoints(self) -> list[str]:
        """Return the endpoints at which operators and upstreams reach control."""
        return [f"{instance.address}:{CONTROL_PORT}" for instance in self.control]

    def directory_endpoints(self) -> list[str]:
        """Return the endpoints at which callers look up the entries."""
        return [f"{entry.address}:{DIRECTORY_PORT}" for entry in self.entries]

    def shuffled(self, items: list[str]) -> list[str]:
        """Return the items in a random order."""
        return self.random.sample(items, len(items))

    def sleep_between(self, shortest: Milliseconds, longest: Milliseconds) -> None:
        """Sleep for a random time."""
        gevent.sleep(self.random.uniform(shortest, longest) / SECOND)

    def stop(self) -> None:
        """Stop everything that this soak has started."""
        # First what could start a process again.
        self._greenlets.kill()
        for host in self.upstream_hosts:
            host.upstream.crash()
            host.proxy.stop()
        for proxy in self.entry_proxies.values():
            proxy.stop()
        for instance in (*self.entries, *self.control):
            instance.kill()

    def _instance(
        self, role: str, index: int, position: int, seeds: tuple[str, ...], folder: Path
    ) -> Instance:
        data_centre = DATA_CENTRES[position % len(DATA_CENTRES)]
        return Instance(role, self.address(index), data_centre, seeds, folder, HEARTBEAT_PERIOD)

    def _find_problem(self) -> str:
        newest = self.observations.newest_acknowledged(self.clock.now())
        for endpoint in self.control_endpoints():
            version = self.operator.read(endpoint)
            if version is None or version < newest:
                return f"{endpoint} returns version {version} instead of {newest}"
        for entry in self.entries:
            for kind in (ONE, EFFECT, ALL):
                problem = self._send_directly(entry, kind)
                if problem:
                    return f"{entry.name} responds to a request of {kind.name} with {problem}"
        return ""

    def _send_directly(self, entry: Instance, kind: RequestKind) -> str:
        try:
            connection = CallerConnection(entry, (entry.address, CALLER_PORT))
        except OSError as error:
            return str(error)
        response = connection.send_request(kind, f"{kind.prefix}1", self.observations)
        connection.close()
        if response.status != 200:
            return f"status {response.status}"
        return f"{response.missing} parts missing" if response.missing else ""

    def _observe_pauses(self) -> None:
        while True:
            due_at = self.clock.now() + PAUSE_RESOLUTION
            gevent.sleep(PAUSE_RESOLUTION / SECOND)
            now = self.clock.now()
            if now > due_at + PAUSE_RESOLUTION:
                self.observations.pauses.append((due_at, now))

    def _supervise(self) -> None:
        """Restart processes that exit by themselves, as the platform does."""
        while True:
            gevent.sleep(POLL_INTERVAL / SECOND)
            for instance in (*self.control, *self.entries):
                if instance.is_over_memory:
                    self.observations.violations.append(
                        f"{instance.name} used more memory than it may"
                    )
                if not instance.should_run or instance.is_running:
                    continue
                now = self.clock.now()
                if self.observations.was_undisturbed(
                    now - FAULT_EXIT_WINDOW, now, (instance.name,), include_planned=False,
                    except_for=HARMLESS_FAULTS,
                ):  # fmt: skip
                    self.observations.violations.append(
                        f"{instance.name} ended by itself with {instance.exit_code}"
                    )
                with self.observations.disturbance("ended by itself", instance.name):
                    gevent.sleep(RESTART_DELAY / SECOND)
                    if instance.should_run:
                        instance.start()

    def _probe(self, entry: Instance) -> None:
        """Repeatedly request the version routes of the newest versions directly from an entry."""
        while True:
            gevent.sleep(self.random.uniform(0.1, 0.3))
            for version in sorted(self.observations.submitted)[-2:]:
                try:
                    connection = CallerConnection(entry, (entry.address, CALLER_PORT))
                except (OSError, PeerUnavailable):
                    # The entry is down or frozen, which is recorded as a disturbance elsewhere.
                    break
                target = f"{VERSION_ROUTE_PREFIX}{version}/1"
                connection.send_request(ONE, target, self.observations)
                connection.close()
