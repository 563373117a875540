"""Simulated operator that submits configurations with retries and reads them back."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.platform.encoding import CONFIGURATION_PATH, EVACUATION_PATH, write_configuration
from fulmarhold.routes.configuration import (
    Route,
    RouteConfiguration,
    UpstreamService,
    WeightedService,
)
from fulmarhold.soak.callers import HOST
from fulmarhold.soak.checks import VERSION_ROUTE_PREFIX
from fulmarhold.soak.kinds import ALL, EFFECT, ONE, SLOW, SLOW_KINDS, RequestKind
from fulmarhold.soak.observations import ReadBack, SubmittedConfiguration
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from fulmarhold.soak.environment import Environment

REQUEST_TIMEOUT: Milliseconds = 1_000.0
RETRY_INTERVAL: Milliseconds = 200.0
STORE_TIMEOUT: Milliseconds = 12_000.0
TARGET_LATENCY: Milliseconds = 400.0
MAX_CONNECTIONS = 60
SINGLE_SERVICES = ("s1", "s2")
SHARD_SETS = (("p0", "p1", "p2", "p3"), ("q0", "q1", "q2", "q3", "q4"))
ALL_SERVICES = (*SINGLE_SERVICES, SLOW.name, *SHARD_SETS[0], *SHARD_SETS[1])


class Operator:
    """Generates configuration versions, submits them and reads back the stored ones."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._version = 0

    def next_configuration(self) -> RouteConfiguration:
        """Return the next configuration; version numbers increase in steps of random size."""
        random = self._environment.random
        self._version += random.randint(1, 3)
        shards = random.choice(SHARD_SETS)
        single_service = random.choice(SINGLE_SERVICES)
        weighted_services = tuple(
            WeightedService(name, random.randint(1, 3)) for name in SINGLE_SERVICES
        )

        def route(kind: RequestKind, prefix: str = "", **changes: Any) -> Route:
            prefix = prefix or kind.prefix
            default = Route(
                f"r{prefix}", HOST, prefix, kind.is_idempotent, kind.timeout, TARGET_LATENCY, 1, 2,
                (WeightedService(single_service, 1),),
            )  # fmt: skip
            return replace(default, **changes)

        slow_service = (WeightedService(SLOW.name, 1),)
        routes = (
            route(ONE, services=weighted_services),
            route(EFFECT),
            route(ALL, services=(), shards=shards, top_records=5, least_share=0.5),
            *(route(kind, services=slow_service) for kind in SLOW_KINDS),
            route(ONE, f"{VERSION_ROUTE_PREFIX}{self._version}/"),
        )
        services = {name: UpstreamService(name, MAX_CONNECTIONS) for name in ALL_SERVICES}
        return RouteConfiguration(self._version, routes, services)

    def store_next(self) -> None:
        """Submit the next configuration."""
        self.store(self.next_configuration())

    def store(self, configuration: RouteConfiguration) -> None:
        """Submit a configuration, retrying at random control instances until it is acknowledged."""
        observations = self._environment.observations
        version = configuration.version
        sent_at = observations.clock.now()
        observations.submitted[version] = SubmittedConfiguration(configuration, sent_at)
        document = write_configuration(configuration)
        while observations.clock.now() < sent_at + STORE_TIMEOUT:
            status = self._put(document)
            if status == 200:
                now = observations.clock.now()
                observations.submitted[version] = SubmittedConfiguration(
                    configuration, sent_at, now
                )
                return
            if status and 400 <= status < 500:
                observations.violations.append(f"valid version {version} was answered {status}")
                return
            gevent.sleep(RETRY_INTERVAL / SECOND)

    def send_invalid(self) -> None:
        """Submit an invalid configuration and record its version as refused."""
        configuration = self.next_configuration()
        zero_weights = tuple(WeightedService(name, 0) for name in SINGLE_SERVICES)
        routes = tuple(
            replace(item, services=zero_weights, shards=()) for item in configuration.routes
        )
        status = self._put(write_configuration(replace(configuration, routes=routes)))
        self._environment.observations.refused_versions.add(configuration.version)
        if status == 200:
            self._environment.observations.violations.append(
                f"invalid version {configuration.version} was accepted"
            )

    def send_conflicting(self) -> None:
        """Submit other content under a stored version number; it must never take effect."""
        observations = self._environment.observations
        newest = observations.newest_acknowledged(observations.clock.now())
        if newest:
            submitted = observations.submitted[newest].configuration
            conflicting = tuple(
                item for item in submitted.routes if not item.path_prefix.startswith("/on")
            )
            self._put(write_configuration(replace(submitted, routes=conflicting)))

    def order_evacuation(self, data_centre: str, *, is_evacuated: bool) -> bool:
        """Send an order to random control instances until it is acknowledged; return whether."""
        clock = self._environment.observations.clock
        until = clock.now() + STORE_TIMEOUT
        method = "POST" if is_evacuated else "DELETE"
        while clock.now() < until:
            status = self._send(method, EVACUATION_PATH + data_centre)
            if 200 <= status < 300:
                return True
            if 400 <= status < 500:
                self._environment.observations.violations.append(
                    f"{method} of the evacuation of {data_centre} was answered {status}"
                )
                return False
            gevent.sleep(RETRY_INTERVAL / SECOND)
        return False

    def read(self, endpoint: str) -> int | None:
        """Read the configuration from one control instance; return its version, if there is one."""
        observations = self._environment.observations
        sent_at = observations.clock.now()
        try:
            response = request_json(endpoint, "GET", CONFIGURATION_PATH, timeout=REQUEST_TIMEOUT)
        except PeerUnavailable:
            return None
        if response.status != 200:
            return None
        version = int(response.body["version"])
        submitted = observations.submitted.get(version)
        matches_submitted = submitted is not None and response.body == write_configuration(
            submitted.configuration
        )
        observations.reads.append(ReadBack(version, sent_at, matches_submitted))
        return version

    def run(self) -> None:
        """Read from random control instances at random intervals until killed."""
        while True:
            gevent.sleep(self._environment.random.uniform(0.2, 0.8))
            self.read(self._environment.random.choice(self._environment.control_endpoints()))

    def _put(self, document: dict[str, Any]) -> int:
        return self._send("PUT", CONFIGURATION_PATH, document)

    def _send(self, method: str, path: str, body: Any = None) -> int:
        """Return the status of the answer of a random control instance, or 0 without one."""
        endpoint = self._environment.random.choice(self._environment.control_endpoints())
        try:
            response = request_json(endpoint, method, path, body=body, timeout=REQUEST_TIMEOUT)
        except PeerUnavailable:
            return 0
        return response.status
