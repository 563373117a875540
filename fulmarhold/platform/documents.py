"""Configurations and heartbeats as the platform writes them, decoded into our own types."""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

from pydantic import Field, StrictInt, StrictStr

from fulmarhold.clock import Milliseconds
from fulmarhold.errors import MalformedInput
from fulmarhold.membership.statements import DRAINING, READY, State, UpstreamStatement
from fulmarhold.routes.configuration import (
    CallerLimits,
    Route,
    RouteConfiguration,
    UpstreamService,
    WeightedService,
    check_configuration,
)
from fulmarhold.settings.loading import load_document
from fulmarhold.settings.processes import Endpoint

# A document is inflated only up to this size, whatever its bytes claim.
LARGEST_DOCUMENT_BYTES = 16 * 1024 * 1024

Count = Annotated[int, Field(ge=0)]


@dataclass(frozen=True)
class _Weighted:
    service: str
    weight: Annotated[float, Field(ge=0)]


@dataclass(frozen=True)
class _Route:
    name: str
    host: str
    path_prefix: Annotated[str, Field(alias="pathPrefix")]
    # Whether a request may run more than once; called the type of the route there.
    repetition: Annotated[Literal["idempotent", "non_idempotent"], Field(alias="routeType")]
    timeout: Annotated[Milliseconds, Field(alias="timeoutMs")]
    target_latency: Annotated[Milliseconds, Field(alias="targetLatencyMs")] = 0.0
    # Zero is the most urgent; called a priority there.
    rank: Annotated[int, Field(alias="priority")] = 0
    most_attempts: Annotated[Count, Field(alias="maxAttempts")] = 1
    service: str | None = None
    split: Annotated[tuple[_Weighted, ...], Field(alias="trafficSplit")] = ()
    shards: Annotated[tuple[str, ...], Field(alias="shardServices")] = ()
    top_records: Annotated[Count, Field(alias="topK")] = 0
    least_share: Annotated[float, Field(alias="minShardShare", ge=0, le=1)] = 0.0


@dataclass(frozen=True)
class _Service:
    name: str
    health_path: Annotated[str, Field(alias="healthPath")] = "/health"
    connection_limit: Annotated[int, Field(alias="maxConnections", ge=1)] = 1


@dataclass(frozen=True)
class _Limits:
    header_bytes: Annotated[int, Field(alias="maxHeaderBytes")] = CallerLimits.header_bytes
    body_bytes: Annotated[int, Field(alias="maxBodyBytes")] = CallerLimits.body_bytes
    header_timeout: Annotated[float, Field(alias="headerTimeoutMs")] = CallerLimits.header_timeout
    idle_timeout: Annotated[float, Field(alias="idleTimeoutMs")] = CallerLimits.idle_timeout


@dataclass(frozen=True)
class _Configuration:
    version: StrictInt
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = field(default_factory=_Limits)


@dataclass(frozen=True)
class _Heartbeat:
    service: Annotated[StrictStr, Field(min_length=1)]
    address: Endpoint
    # Called a zone there.
    data_centre: Annotated[StrictStr, Field(alias="zone")]
    state: Literal["ready", "draining"]
    slots: Annotated[StrictInt, Field(ge=1)]
    sequence: Annotated[StrictInt, Field(ge=0)]
    # How much longer the upstream is slow after its start, in milliseconds.
    warm_up: Annotated[float, Field(alias="warmupLeftMs", ge=0)]
    # Version of the software there; read only to check that it is given.
    software: Annotated[StrictStr, Field(alias="version")]
    # Unix time of the start in milliseconds.
    born: Annotated[StrictInt, Field(ge=0)] = 0


def read_json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object of a body; raises `MalformedInput` when it is none."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise MalformedInput(f"the body is not JSON: {error}", step="reading the body") from error
    if not isinstance(value, dict):
        raise MalformedInput("the body must be a JSON object", step="reading the body")
    return value


def decode_configuration(body: bytes) -> RouteConfiguration:
    """Decode and check an operator's configuration.

    Raises `MalformedInput` when it can't be read and `InvalidSettings` when it can't hold.
    """
    values = load_document(read_json_object(body), _Configuration, "configuration")
    configuration = RouteConfiguration(
        values.version,
        tuple(_route(item) for item in values.routes),
        {
            item.name: UpstreamService(item.name, item.connection_limit, item.health_path)
            for item in values.services
        },
        CallerLimits(
            values.limits.header_bytes,
            values.limits.body_bytes,
            values.limits.header_timeout,
            values.limits.idle_timeout,
        ),
    )
    check_configuration(configuration)
    return configuration


def pack_document(body: bytes) -> bytes:
    """Return a configuration as it is stored and sent between instances."""
    return zlib.compress(body, 6)


def unpack_document(document: bytes) -> bytes:
    """Return the bytes that were packed."""
    inflater = zlib.decompressobj()
    body = inflater.decompress(document, LARGEST_DOCUMENT_BYTES)
    if inflater.unconsumed_tail:
        raise MalformedInput("the document is larger than allowed", step="unpacking")
    return body


def decode_heartbeat(name: str, body: bytes) -> UpstreamStatement:
    """Decode what the upstream `name` says of itself; raises `MalformedInput` or
    `InvalidSettings` when it can't be relied on."""
    values = load_document(read_json_object(body), _Heartbeat, "heartbeat")
    state: State = DRAINING if values.state == "draining" else READY
    return UpstreamStatement(
        name,
        values.born,
        values.sequence,
        state,
        values.service,
        values.address,
        values.data_centre,
        values.slots,
        values.warm_up,
    )


def _route(item: _Route) -> Route:
    services = tuple(WeightedService(part.service, part.weight) for part in item.split)
    if item.service is not None:
        services = (WeightedService(item.service, 1.0),)
    return Route(
        item.name,
        item.host,
        item.path_prefix,
        item.repetition == "idempotent",
        item.timeout,
        item.target_latency,
        item.rank,
        max(1, item.most_attempts),
        services,
        item.shards,
        item.top_records,
        item.least_share,
    )
