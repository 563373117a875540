"""Decoding of the platform's configurations and heartbeats into internal types."""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING, Annotated, Any, Literal

from msgspec import Meta, Struct, field
from msgspec.structs import fields

from fulmarhold.accounts.keys import digest_of_key
from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import MalformedInput
from fulmarhold.membership.statements import DRAINING, READY, State, UpstreamStatement
from fulmarhold.membership.validity import (
    Ordinal,
    Slots,
    Text,
    WarmUp,
    check_upstream_address,
    check_upstream_name,
)
from fulmarhold.platform.strict_json import read_strict_object
from fulmarhold.routes.configuration import (
    CallerLimits,
    ClientAccount,
    Route,
    RouteConfiguration,
    UpstreamService,
    WeightedService,
    check_configuration,
    check_new_configuration,
)
from fulmarhold.settings.problems import InvalidSettings, Problem
from fulmarhold.settings.structs import decode_struct

if TYPE_CHECKING:
    from collections.abc import Callable

# Upper bound on a decompressed document, so that a small input can't exhaust memory.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
HEARTBEAT = "heartbeat"

Count = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Key = Annotated[str, Meta(min_length=1)]
Quota = Annotated[float, Meta(ge=0)]


class _Weighted(Struct, frozen=True):
    service: str
    weight: Annotated[float, Meta(ge=0)]


class _Route(Struct, frozen=True):
    name: str
    host: str
    path_prefix: str = field(name="pathPrefix")
    # Whether a request may be executed more than once.
    route_type: Literal["idempotent", "non_idempotent"] = field(name="routeType")
    timeout: Milliseconds = field(name="timeoutMs")
    target_latency: Milliseconds = field(default=0.0, name="targetLatencyMs")
    # The priority of the route; zero is the most urgent.
    rank: int = field(default=0, name="priority")
    most_attempts: Count = field(default=1, name="maxAttempts")
    service: str | None = None
    traffic_split: tuple[_Weighted, ...] = field(default=(), name="trafficSplit")
    shards: tuple[str, ...] = field(default=(), name="shardServices")
    top_records: Count = field(default=0, name="topK")
    least_share: Share = field(default=0.0, name="minShardShare")
    # Whether requests need no key.
    is_public: bool = field(default=False, name="public")


class _Service(Struct, frozen=True):
    name: str
    health_path: str = field(default="/health", name="healthPath")
    connection_limit: Annotated[int, Meta(ge=1)] = field(default=1, name="maxConnections")
    warm_up_seconds: float = field(default=0.0, name="warmupS")
    warm_up_rate: float = field(default=0.0, name="warmupPerS")


class _Limits(Struct, frozen=True):
    header_bytes: int = field(default=CallerLimits.header_bytes, name="maxHeaderBytes")
    body_bytes: int = field(default=CallerLimits.body_bytes, name="maxBodyBytes")
    header_timeout: float = field(default=CallerLimits.header_timeout, name="headerTimeoutMs")
    idle_timeout: float = field(default=CallerLimits.idle_timeout, name="idleTimeoutMs")


class _Account(Struct, frozen=True):
    name: str
    keys: tuple[Key, ...] = field(default=(), name="apiKeys")
    # The priority of its requests; zero is the most urgent.
    rank: int | None = field(default=None, name="priority")
    # Requests per second and in a burst, over all entries together; zero is no limit.
    rate: Quota | None = field(default=None, name="ratePerS")
    burst: Quota | None = None


class _Configuration(Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    # The platform calls a client account a tenant.
    accounts: tuple[_Account, ...] | None = field(default=None, name="tenants")


class _Heartbeat(Struct, frozen=True):
    service: Annotated[Text, Meta(min_length=1)]
    address: Text
    # The platform calls a data centre a zone.
    data_centre: Text = field(name="zone")
    state: Literal["ready", "draining"]
    slots: Slots
    sequence: Ordinal
    # The remaining warm-up time in milliseconds, during which the upstream is slow.
    warm_up: WarmUp = field(name="warmupLeftMs")
    # The upstream's software version; decoded only to check that it is present.
    software_version: Text = field(name="version")
    # Unix time of the upstream's start in milliseconds.
    born: Ordinal = 0


class _Departure(Struct, frozen=True):
    # Unix time of the start that ends, in milliseconds.
    born: Ordinal | None = None


# The fields of a heartbeat by their names on the platform, and the id in its path.
HEARTBEAT_FIELDS = frozenset({"id", *(item.encode_name for item in fields(_Heartbeat))})


def read_json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body; raises `MalformedInput` if there is none."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedInput(f"the body is not JSON: {error}", step="reading the body") from error
    if not isinstance(value, dict):
        raise MalformedInput("the body must be a JSON object", step="reading the body")
    return value


def decode_new_configuration(body: bytes) -> RouteConfiguration:
    """Decode and validate a configuration that an operator sends.

    Raises `MalformedInput` if it can't be read in full and `InvalidSettings` if it isn't valid.
    Stored configurations of earlier releases are decoded with `decode_configuration`.
    """
    read_strict_object(body)
    configuration = decode_configuration(body)
    check_new_configuration(configuration)
    return configuration


def decode_configuration(body: bytes) -> RouteConfiguration:
    """Decode and validate a stored configuration.

    Raises `MalformedInput` if it can't be parsed and `InvalidSettings` if it isn't valid.
    """
    values = decode_struct(read_json_object(body), _Configuration, "configuration")
    configuration = RouteConfiguration(
        values.version,
        tuple(_route(item) for item in values.routes),
        {
            item.name: UpstreamService(
                item.name,
                item.connection_limit,
                item.health_path,
                item.warm_up_seconds * SECOND,
                item.warm_up_rate,
            )
            for item in values.services
        },
        CallerLimits(
            values.limits.header_bytes,
            values.limits.body_bytes,
            values.limits.header_timeout,
            values.limits.idle_timeout,
        ),
        None if values.accounts is None else tuple(map(_account, values.accounts)),
    )
    check_configuration(configuration)
    return configuration


def pack_document(body: bytes) -> bytes:
    """Compress a configuration for storage and for messages between instances."""
    return zlib.compress(body, 6)


def unpack_document(document: bytes) -> bytes:
    """Decompress a configuration; raises `MalformedInput` if it is damaged or too large."""
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(document, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise MalformedInput(f"the document is damaged: {error}", step="unpacking") from error
    if inflater.unconsumed_tail:
        raise MalformedInput("the document is larger than allowed", step="unpacking")
    return body


def decode_heartbeat(name: str, body: bytes) -> UpstreamStatement:
    """Decode a heartbeat of the upstream `name`.

    Raises `MalformedInput` if it can't be parsed and `InvalidSettings` if it isn't valid.
    """
    check_id(name)
    values = decode_struct(read_strict_object(body), _Heartbeat, HEARTBEAT)
    state: State = DRAINING if values.state == "draining" else READY
    return UpstreamStatement(
        name,
        values.born,
        values.sequence,
        state,
        values.service,
        _require(check_upstream_address, values.address, "address"),
        values.data_centre,
        values.slots,
        values.warm_up,
    )


def decode_departure(name: str, body: bytes) -> int | None:
    """Decode the departure of the upstream `name`; returns the start that it names, if any.

    Raises `MalformedInput` if a body can't be parsed and `InvalidSettings` if it isn't valid.

    >>> decode_departure("i-7f3a", b'{"born": 1796000000000}')
    1796000000000
    >>> decode_departure("i-7f3a", b"") is None
    True
    """
    check_id(name)
    if not body:
        return None
    return decode_struct(read_strict_object(body), _Departure, HEARTBEAT).born


def check_id(name: str) -> str:
    """Return the id of an upstream in a path; raises `InvalidSettings` if it can't be used."""
    return _require(check_upstream_name, name, "id")


def _require(check: Callable[[str], str], value: str, path: str) -> str:
    try:
        return check(value)
    except ValueError as error:
        raise InvalidSettings(HEARTBEAT, [Problem(path, str(error))]) from error


def _route(item: _Route) -> Route:
    services = tuple(WeightedService(part.service, part.weight) for part in item.traffic_split)
    if item.service is not None:
        services = (WeightedService(item.service, 1.0),)
    return Route(
        item.name,
        item.host,
        item.path_prefix,
        item.route_type == "idempotent",
        item.timeout,
        item.target_latency,
        item.rank,
        max(1, item.most_attempts),
        services,
        item.shards,
        item.top_records,
        item.least_share,
        item.is_public,
    )


def _account(item: _Account) -> ClientAccount:
    digests = frozenset(digest_of_key(key.encode("utf-8", "surrogatepass")) for key in item.keys)
    return ClientAccount(item.name, digests, item.rank, item.rate or 0.0, item.burst or 0.0)
