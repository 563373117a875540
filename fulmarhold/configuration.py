"""The generated configuration that control accepts and every entry runs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import ConfigDict, Field

from fulmarhold.settings.loading import load_document, type_adapter

STRICT = ConfigDict(extra="forbid")

Priority = Literal["coverage", "latency"]
Urgency = Literal["urgent", "normal", "background"]
PositiveMilliseconds = Annotated[float, Field(gt=0, le=600_000)]
PositiveInteger = Annotated[int, Field(ge=1, le=1_000_000)]
Share = Annotated[float, Field(ge=0, le=1)]


@dataclass(frozen=True)
class RequestType:
    """A type of request that a service accepts."""

    __pydantic_config__ = STRICT

    name: str
    idempotent: bool


@dataclass(frozen=True)
class ServiceConfiguration:
    """The settings of the entries for one service; durations are in milliseconds."""

    __pydantic_config__ = STRICT

    name: str
    shards: PositiveInteger
    replicas: PositiveInteger
    slots: PositiveInteger
    connections_per_entry: PositiveInteger
    warm_connections: Annotated[int, Field(ge=0)]
    connection_cost_ms: Annotated[float, Field(ge=0)]
    priority: Priority
    urgency: Urgency
    deadline_ms: PositiveMilliseconds
    longest_deadline_ms: PositiveMilliseconds
    least_coverage: Share
    extra_load_share: Share
    hedge_quantile: Share
    slow_start_ms: PositiveMilliseconds
    ejection_ms: PositiveMilliseconds
    admission_limit: PositiveInteger
    requests: dict[str, RequestType]


@dataclass(frozen=True)
class Timings:
    """Periods, leases and timeouts of the fleet, in milliseconds."""

    __pydantic_config__ = STRICT

    announcement_period_ms: PositiveMilliseconds
    announcement_lease_ms: PositiveMilliseconds
    poll_period_ms: PositiveMilliseconds
    poll_lease_ms: PositiveMilliseconds
    confirmation_lease_ms: PositiveMilliseconds
    address_answer_ms: PositiveMilliseconds
    claim_timeout_ms: PositiveMilliseconds


@dataclass(frozen=True)
class Configuration:
    """The whole configuration of a fleet, derived from one questionnaire."""

    __pydantic_config__ = STRICT

    deployment: str
    data_centres: tuple[str, ...]
    entries: PositiveInteger
    timings: Timings
    services: dict[str, ServiceConfiguration]


def configuration_to_document(configuration: Configuration) -> dict[str, Any]:
    """Return the configuration as plain values that YAML, JSON and msgpack can encode."""
    document: dict[str, Any] = type_adapter(Configuration).dump_python(configuration, mode="json")
    return document


def configuration_from_document(document: Any, source: str) -> Configuration:
    """Validate plain values; raises `InvalidSettings` that lists all problems."""
    return load_document(document, Configuration, source)
