"""The operator: sends configurations, again until they are acknowledged, and reads them back."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.platform.encoding import CONFIGURATION_PATH, write_configuration
from fulmarhold.routes.configuration import (
    Route,
    RouteConfiguration,
    UpstreamService,
    WeightedService,
)
from fulmarhold.soak.callers import HOST
from fulmarhold.soak.checks import MARKER
from fulmarhold.soak.observations import ReadBack, Stored
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from fulmarhold.soak.world import World

TIMEOUT: Milliseconds = 1_000.0
RETRY: Milliseconds = 200.0
GIVE_UP: Milliseconds = 12_000.0
ROUTE_TIMEOUT: Milliseconds = 1_800.0
TARGET: Milliseconds = 400.0
CONNECTIONS = 60
SINGLE_SERVICES = ("s1", "s2")
SHARD_SETS = (("p0", "p1", "p2", "p3"), ("q0", "q1", "q2", "q3", "q4"))
ALL_SERVICES = (*SINGLE_SERVICES, *SHARD_SETS[0], *SHARD_SETS[1])


class Operator:
    """Makes versions, sends them and reads back what is stored."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._version = 0

    @property
    def version(self) -> int:
        """The highest version made so far."""
        return self._version

    def make(self) -> RouteConfiguration:
        """Return the next configuration; versions grow in uneven steps."""
        random = self._world.random
        self._version += random.randint(1, 3)
        shards = random.choice(SHARD_SETS)
        one = random.choice(SINGLE_SERVICES)
        split = tuple(WeightedService(name, random.randint(1, 3)) for name in SINGLE_SERVICES)

        def route(prefix: str, *, is_idempotent: bool = True, **changes: Any) -> Route:
            plain = Route(
                f"r{prefix}", HOST, prefix, is_idempotent, ROUTE_TIMEOUT, TARGET, 1, 2,
                (WeightedService(one, 1),),
            )  # fmt: skip
            return replace(plain, **changes)

        routes = (
            route("/one/", services=split),
            route("/effect/", is_idempotent=False),
            route("/all/", services=(), shards=shards, top_records=5, least_share=0.5),
            route(f"{MARKER}{self._version}/"),
        )
        services = {name: UpstreamService(name, CONNECTIONS) for name in ALL_SERVICES}
        return RouteConfiguration(self._version, routes, services)

    def store(self, configuration: RouteConfiguration) -> None:
        """Send a configuration to any control instance until it is acknowledged."""
        seen = self._world.seen
        version = configuration.version
        sent_at = seen.clock.now()
        seen.stored[version] = Stored(configuration, sent_at)
        document = write_configuration(configuration)
        while seen.clock.now() < sent_at + GIVE_UP:
            status = self._put(document)
            if status == 200:
                seen.stored[version] = Stored(configuration, sent_at, seen.clock.now())
                return
            if status and 400 <= status < 500:
                seen.broken.append(f"valid version {version} was answered {status}")
                return
            gevent.sleep(RETRY / SECOND)

    def send_invalid(self) -> None:
        """Send a configuration that can't hold, and note that it was refused."""
        configuration = self.make()
        nowhere = tuple(WeightedService(name, 0) for name in SINGLE_SERVICES)
        routes = tuple(replace(item, services=nowhere, shards=()) for item in configuration.routes)
        status = self._put(write_configuration(replace(configuration, routes=routes)))
        self._world.seen.refused_versions.add(configuration.version)
        if status == 200:
            self._world.seen.broken.append(f"invalid version {configuration.version} was accepted")

    def send_other_content(self) -> None:
        """Send other content under a number that is stored; it must never be obeyed."""
        seen = self._world.seen
        newest = seen.newest_acknowledged(seen.clock.now())
        if newest:
            stored = seen.stored[newest].configuration
            forged = tuple(item for item in stored.routes if not item.path_prefix.startswith("/on"))
            self._put(write_configuration(replace(stored, routes=forged)))

    def read(self, endpoint: str) -> int | None:
        """Read the configuration at one control instance; returns its version if it names one."""
        seen = self._world.seen
        sent_at = seen.clock.now()
        try:
            answer = request_json(endpoint, "GET", CONFIGURATION_PATH, timeout=TIMEOUT)
        except PeerUnavailable:
            return None
        if answer.status != 200:
            return None
        version = int(answer.body["version"])
        stored = seen.stored.get(version)
        is_as_sent = stored is not None and answer.body == write_configuration(stored.configuration)
        seen.reads.append(ReadBack(version, sent_at, is_as_sent))
        return version

    def run(self) -> None:
        """Read back at random until killed."""
        while True:
            gevent.sleep(self._world.random.uniform(0.2, 0.8))
            self.read(self._world.random.choice(self._world.control_endpoints()))

    def _put(self, document: dict[str, Any]) -> int:
        endpoint = self._world.random.choice(self._world.control_endpoints())
        try:
            answer = request_json(
                endpoint, "PUT", CONFIGURATION_PATH, body=document, timeout=TIMEOUT
            )
        except PeerUnavailable:
            return 0
        return answer.status
