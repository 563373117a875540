"""The fleet of one soak: control, entries, upstreams and the proxies before them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent.lock import BoundedSemaphore

from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.errors import FulmarholdError, PeerUnavailable
from fulmarhold.platform.encoding import CALLER_PORT, CONTROL_PORT, DIRECTORY_PORT
from fulmarhold.soak.callers import Caller, CallerConnection
from fulmarhold.soak.checks import MARKER
from fulmarhold.soak.observations import Observations
from fulmarhold.soak.operator import ALL_SERVICES, Operator
from fulmarhold.soak.processes import Instance
from fulmarhold.soak.proxy import Proxy
from fulmarhold.soak.upstream import SoakUpstream

if TYPE_CHECKING:
    from pathlib import Path
    from random import Random

HEARTBEAT: Milliseconds = 300.0
UPSTREAM_PORT = 8300
DATA_CENTRES = ("a", "b")
# Parts of a network of loopback addresses; see `_address`.
CONTROL_FROM, ENTRY_FROM, PROXY_FROM, UPSTREAM_FROM, PUBLIC_FROM = 1, 20, 120, 1_000, 6_000
ADDRESSES_PER_PART = 250
FIRST_NETWORK, NETWORKS = 60, 190
START_PATIENCE: Milliseconds = 30_000.0
LOOK: Milliseconds = 100.0
RESTART_DELAY: Milliseconds = 300.0
# A process may end by itself after a fault of its own, such as a full disk, for this long.
EXPLAINED: Milliseconds = 3_000.0


@dataclass(frozen=True)
class Plan:
    """Sizes of a soak."""

    control: int = 3
    entries: int = 3
    replicas: int = 2
    callers: int = 6


class Place:
    """Where one upstream after the other lives: an address and the proxy before it."""

    def __init__(self, world: World, number: int, service: str) -> None:
        self._world = world
        self._listen = (world.address(UPSTREAM_FROM + number), UPSTREAM_PORT)
        self.public = (world.address(PUBLIC_FROM + number), UPSTREAM_PORT)
        self.service = service
        self.proxy = Proxy(self.public, self._listen)
        self.turn = BoundedSemaphore(1)
        self.upstream = self.start(service)

    @property
    def name(self) -> str:
        return f"place-{self.public[0]}"

    def start(self, service: str) -> SoakUpstream:
        """Start a new incarnation of a service here."""
        self.service = service
        world = self._world
        self.upstream = SoakUpstream(
            service, self._listen, f"{self.public[0]}:{self.public[1]}", world.control_endpoints,
            HEARTBEAT, world.seen, world.random,
        )  # fmt: skip
        return self.upstream


class World:
    """Everything that one soak runs and has seen."""

    def __init__(self, folder: Path, seed: int, random: Random, plan: Plan) -> None:
        self.clock = Clock()
        self.random = random
        self.seen = Observations(self.clock)
        self._network = FIRST_NETWORK + seed % NETWORKS
        seeds = tuple(self.address(CONTROL_FROM + number) for number in range(min(3, plan.control)))
        self.control = [
            self._instance("control", CONTROL_FROM + number, number, seeds, folder)
            for number in range(plan.control)
        ]
        self.entries = [
            self._instance("entry", ENTRY_FROM + number, number, seeds, folder)
            for number in range(plan.entries)
        ]
        self.seen.control = tuple(instance.name for instance in self.control)
        # One control instance at a time may be down or have lost its disk.
        self.control_turn = BoundedSemaphore(1)
        self.entry_proxies = {
            entry.name: Proxy(
                (self.address(PROXY_FROM + number), CALLER_PORT), (entry.address, CALLER_PORT)
            )
            for number, entry in enumerate(self.entries)
        }
        self._by_endpoint = {f"{entry.address}:{CALLER_PORT}": entry for entry in self.entries}
        self.operator = Operator(self)
        self.places: list[Place] = []
        self._plan = plan
        self._greenlets: list[gevent.Greenlet] = []

    def address(self, number: int) -> str:
        """Return a loopback address of this soak."""
        part, place = divmod(number, ADDRESSES_PER_PART)
        return f"127.{self._network}.{part}.{place + 1}"

    def start(self) -> None:
        """Start everything and wait until every entry serves."""
        for instance in (*self.control, *self.entries):
            instance.start(is_first=True)
        self.operator.store(self.operator.make())
        services = [name for name in ALL_SERVICES for _ in range(self._plan.replicas)]
        for number, service in enumerate(services):
            self.places.append(Place(self, number, service))
        self.await_whole(START_PATIENCE)
        callers = [Caller(self, self.random) for _ in range(self._plan.callers)]
        self._greenlets = [gevent.spawn(caller.run) for caller in callers]
        self._greenlets.append(gevent.spawn(self.operator.run))
        self._greenlets += [gevent.spawn(self._probe, entry) for entry in self.entries]
        self._greenlets.append(gevent.spawn(self._supervise))

    def await_whole(self, patience: Milliseconds) -> None:
        """Wait until every entry answers whole and every control instance names the newest version.

        Raises `FulmarholdError` that names what is not whole after `patience` ms.
        """
        until = self.clock.now() + patience
        problem = "not looked yet"
        while problem:
            if self.clock.now() > until:
                raise FulmarholdError(f"not whole after {patience:.0f} ms: {problem}", step="soak")
            gevent.sleep(LOOK / SECOND)
            problem = self._problem()

    def connect(self, endpoint: str) -> CallerConnection:
        """Connect to an entry by way of its proxy."""
        entry = self._by_endpoint[endpoint]
        number = self.entries.index(entry)
        return CallerConnection(entry, (self.address(PROXY_FROM + number), CALLER_PORT))

    def control_endpoints(self) -> list[str]:
        """Return where operators and upstreams reach control."""
        return [f"{instance.address}:{CONTROL_PORT}" for instance in self.control]

    def directory_endpoints(self) -> list[str]:
        """Return where callers ask which entries to use."""
        return [f"{entry.address}:{DIRECTORY_PORT}" for entry in self.entries]

    def shuffled(self, items: list[str]) -> list[str]:
        """Return the items in a random order."""
        return self.random.sample(items, len(items))

    def stop(self) -> None:
        """End everything that this soak has started."""
        gevent.killall(self._greenlets)
        for place in self.places:
            place.upstream.crash()
            place.proxy.stop()
        for proxy in self.entry_proxies.values():
            proxy.stop()
        for instance in (*self.entries, *self.control):
            instance.kill()

    def _instance(
        self, role: str, number: int, place: int, seeds: tuple[str, ...], folder: Path
    ) -> Instance:
        data_centre = DATA_CENTRES[place % len(DATA_CENTRES)]
        return Instance(role, self.address(number), data_centre, seeds, folder, HEARTBEAT)

    def _problem(self) -> str:
        newest = self.seen.newest_acknowledged(self.clock.now())
        for endpoint in self.control_endpoints():
            version = self.operator.read(endpoint)
            if version is None or version < newest:
                return f"{endpoint} names version {version}, not {newest}"
        for entry in self.entries:
            for target in ("/one/1", "/effect/1", "/all/1"):
                problem = self._ask_directly(entry, target)
                if problem:
                    return f"{entry.name} answers {target} with {problem}"
        return ""

    def _ask_directly(self, entry: Instance, target: str) -> str:
        try:
            connection = CallerConnection(entry, (entry.address, CALLER_PORT))
        except OSError as error:
            return str(error)
        is_effect = target.startswith("/effect/")
        answer = connection.ask(
            "POST" if is_effect else "GET", target, b"", is_idempotent=not is_effect, seen=self.seen
        )
        connection.close()
        if answer.status != 200:
            return f"status {answer.status}"
        return f"{answer.missing} parts missing" if answer.missing else ""

    def _supervise(self) -> None:
        """Start processes again that end by themselves, as the platform does."""
        while True:
            gevent.sleep(LOOK / SECOND)
            for instance in (*self.control, *self.entries):
                if not instance.is_wanted or instance.is_running:
                    continue
                now = self.clock.now()
                if self.seen.was_calm(now - EXPLAINED, now, (instance.name,), plans_count=False):
                    self.seen.broken.append(
                        f"{instance.name} ended by itself with {instance.exit_code}"
                    )
                with self.seen.disturbing("ended by itself", instance.name):
                    gevent.sleep(RESTART_DELAY / SECOND)
                    if instance.is_wanted:
                        instance.start()

    def _probe(self, entry: Instance) -> None:
        """Ask an entry directly for the newest versions' own routes, over and over."""
        while True:
            gevent.sleep(self.random.uniform(0.1, 0.3))
            for version in sorted(self.seen.stored)[-2:]:
                try:
                    connection = CallerConnection(entry, (entry.address, CALLER_PORT))
                except (OSError, PeerUnavailable):
                    # It is down or frozen, which is a disturbance of its own.
                    break
                connection.ask(
                    "GET", f"{MARKER}{version}/1", b"", is_idempotent=True, seen=self.seen
                )
                connection.close()
