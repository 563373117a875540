"""The route configuration: which services take each request, and within which limits.

Version numbers only increase, and a newer version replaces an older one as a whole.
"""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING

from fulmarhold.accounts.bucket import QuotaLimit
from fulmarhold.accounts.keys import accounts_sharing_a_key
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
# The name of an account is sent to upstreams in a header.
ACCOUNT_NAME_PATTERN = re.compile(r"[!-~]([ -~]{0,126}[!-~])?")


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
    # Whether requests need no key where the configuration has accounts.
    is_public: bool = False

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
class ClientAccount:
    """A client account, with digests instead of its keys.

    `rank` is the priority of its requests, which takes precedence over that of the route if it is
    set. All entries together admit `rate` requests per second and `burst` more; zero is no limit.
    """

    name: str
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)
    rank: int | None = None
    rate: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of requests, in bytes, and on timeouts, in milliseconds."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout: Milliseconds = DEFAULT_HEADER_TIMEOUT
    idle_timeout: Milliseconds = DEFAULT_IDLE_TIMEOUT


@dataclass(frozen=True)
class RouteConfiguration:
    """All routes, services and accounts of one version.

    If `accounts` is set, even to none, requests need the key of an account.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, UpstreamService]
    limits: CallerLimits = CallerLimits()
    accounts: tuple[ClientAccount, ...] | None = None

    @property
    def quota_limits(self) -> dict[str, QuotaLimit]:
        """The quotas of the accounts that have one."""
        accounts = self.accounts or ()
        return {item.name: QuotaLimit(item.rate, item.burst) for item in accounts if item.rate > 0}


def check_new_configuration(configuration: RouteConfiguration) -> None:
    """Raise `InvalidSettings` with all problems of a configuration that is to be accepted.

    One that an earlier release has accepted is only checked with `check_configuration`.
    """
    problems = [*_duplicate_problems((item.host.lower(), item) for item in configuration.routes)]
    if not 0 <= configuration.version <= MAX_VERSION:
        problems.append(Problem("version", f"must be from 0 to {MAX_VERSION}"))
    for route in configuration.routes:
        problems.extend(_new_route_problems(route, configuration.services))
    problems.extend(_new_account_problems(configuration.accounts or ()))
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
    for number, account in enumerate(configuration.accounts or ()):
        if not ACCOUNT_NAME_PATTERN.fullmatch(account.name):
            text = "must be 1 to 128 printable ASCII characters without spaces at the ends"
            problems.append(Problem(f"accounts[{number}].name", text))
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
    for name, value in (("timeout", route.timeout), ("target latency", route.target_latency)):
        if not 0 <= value <= MAX_DURATION:
            yield Problem(path, f"has the {name} {value:g} ms, which must be from 0 to a day")
    for item in route.services:
        if not item.weight <= MAX_LIMIT:
            yield Problem(path, f"has the weight {item.weight:g}, which is too large")


def _new_account_problems(accounts: tuple[ClientAccount, ...]) -> Iterable[Problem]:
    for name, count in Counter(account.name for account in accounts).items():
        if count > 1:
            yield Problem(f"accounts.{name:.130}", f"is defined {count} times")
    for first, second in accounts_sharing_a_key(accounts):
        yield Problem(f"accounts.{second:.130}", f"shares a key with the account {first!r:.130}")
    for account in accounts:
        for name, value in (("rate", account.rate), ("burst", account.burst)):
            if not value <= MAX_LIMIT:
                yield Problem(f"accounts.{account.name:.130}", f"has a {name} that is too large")


def _new_service_problems(service: UpstreamService) -> Iterable[Problem]:
    path = f"services.{service.name}"
    if not 0 <= service.warm_up <= MAX_DURATION:
        yield Problem(path, f"has a warm-up of {service.warm_up:g} ms, must be from 0 to a day")
    if not 0 <= service.warm_up_rate <= MAX_LIMIT:
        yield Problem(path, f"bears {service.warm_up_rate:g} requests a second while it is cold")
