"""The route configuration: which services take each request, and within which limits.

Version numbers only increase, and a newer version replaces an older one as a whole.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from fulmarhold.clock import HOUR
from fulmarhold.settings.problems import InvalidSettings, Problem

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Milliseconds

# Limits for configurations that set none; common defaults of HTTP servers.
DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 262_144
DEFAULT_HEADER_TIMEOUT: Milliseconds = 3_000.0
DEFAULT_IDLE_TIMEOUT: Milliseconds = 15_000.0
# Larger numbers are not exact in JSON, or can't be stored.
MAX_VERSION = 2**53
MAX_DURATION: Milliseconds = 24 * HOUR
# In bytes, milliseconds or units of weight.
MAX_LIMIT = 2**31 - 1


@dataclass(frozen=True)
class WeightedService:
    """A service that takes a share of a route's requests in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Handles requests to `host` whose path starts with `path_prefix`; durations in milliseconds.

    Either `services` or `shards` is set: the request goes to one of several services, or to one
    upstream of every shard.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout: Milliseconds
    target_latency: Milliseconds
    rank: int
    most_attempts: int
    services: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_records: int = 0
    least_share: float = 0.0

    @property
    def service_names(self) -> tuple[str, ...]:
        """The names of all services that a request may reach."""
        return self.shards or tuple(item.service for item in self.services)


@dataclass(frozen=True)
class UpstreamService:
    """A service, each upstream of which accepts `connection_limit` connections from all entries.

    For `warm_up` ms after its start, an upstream is cold and bears `warm_up_rate` requests a second
    from all entries; zero means that it has no such bound.
    """

    name: str
    connection_limit: int
    health_path: str = "/health"
    warm_up: Milliseconds = 0.0
    warm_up_rate: float = 0.0


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of requests, in bytes, and on timeouts, in milliseconds."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout: Milliseconds = DEFAULT_HEADER_TIMEOUT
    idle_timeout: Milliseconds = DEFAULT_IDLE_TIMEOUT


@dataclass(frozen=True)
class RouteConfiguration:
    """All routes and services of one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, UpstreamService]
    limits: CallerLimits = CallerLimits()


def check_new_configuration(configuration: RouteConfiguration) -> None:
    """Raise `InvalidSettings` with all problems of a configuration that is to be accepted.

    One that an earlier release has accepted is only checked with `check_configuration`.
    """
    problems = [*_duplicate_problems((item.host.lower(), item) for item in configuration.routes)]
    if not 0 <= configuration.version <= MAX_VERSION:
        problems.append(Problem("version", f"must be from 0 to {MAX_VERSION}"))
    for route in configuration.routes:
        problems.extend(_new_route_problems(route, configuration.services))
    for name, value in asdict(configuration.limits).items():
        if not 0 < value <= MAX_LIMIT:
            problems.append(Problem(f"limits.{name}", f"must be above 0, and {MAX_LIMIT} at most"))
    for service in configuration.services.values():
        problems.extend(_new_service_problems(service))
    if problems:
        raise InvalidSettings(f"configuration {configuration.version}", problems)


def check_configuration(configuration: RouteConfiguration) -> None:
    """Raise `InvalidSettings` with all problems of a configuration, if it has any."""
    problems = [*_duplicate_problems((item.host, item) for item in configuration.routes)]
    for route in configuration.routes:
        problems.extend(_route_problems(route, configuration.services))
    if problems:
        raise InvalidSettings(f"configuration {configuration.version}", problems)


def _duplicate_problems(routes: Iterable[tuple[str, Route]]) -> Iterable[Problem]:
    occurrences = Counter((host, route.path_prefix) for host, route in routes)
    for (host, prefix), count in occurrences.items():
        if count > 1:
            yield Problem(f"routes.{host}{prefix}", f"is defined {count} times")


def _route_problems(route: Route, services: dict[str, UpstreamService]) -> Iterable[Problem]:
    path = f"routes.{route.name}"
    for name in route.service_names:
        if name not in services:
            yield Problem(path, f"names the unknown service {name!r:.60}")
    if not route.service_names:
        yield Problem(path, "names no service")
    if route.services and sum(item.weight for item in route.services) <= 0:
        yield Problem(path, "has weights that add up to zero")
    if route.timeout <= 0:
        yield Problem(path, f"has the timeout {route.timeout:g} ms, which must be above 0")


def _new_route_problems(route: Route, services: dict[str, UpstreamService]) -> Iterable[Problem]:
    path = f"routes.{route.name}"
    if route.shards:
        for item in route.services:
            if item.service not in services:
                yield Problem(path, f"names the unknown service {item.service!r:.60}")
    for field, value in (("timeout", route.timeout), ("target latency", route.target_latency)):
        if not 0 <= value <= MAX_DURATION:
            yield Problem(path, f"has the {field} {value:g} ms, which must be from 0 to a day")
    for item in route.services:
        if not item.weight <= MAX_LIMIT:
            yield Problem(path, f"has the weight {item.weight:g}, which is too large")


def _new_service_problems(service: UpstreamService) -> Iterable[Problem]:
    path = f"services.{service.name}"
    if not 0 <= service.warm_up <= MAX_DURATION:
        yield Problem(path, f"has a warm-up of {service.warm_up:g} ms, must be from 0 to a day")
    if not 0 <= service.warm_up_rate <= MAX_LIMIT:
        yield Problem(path, f"bears {service.warm_up_rate:g} requests a second while it is cold")
