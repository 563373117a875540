"""Encoding of internal types into the platform's documents, for stand-ins and tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.platform.headers import REQUEST_ID, TIME_LEFT

if TYPE_CHECKING:
    from fulmarhold.membership.statements import UpstreamStatement
    from fulmarhold.routes.configuration import Route, RouteConfiguration, UpstreamService

CALLER_PORT, READINESS_PORT, CONTROL_PORT, DIRECTORY_PORT = 8226, 8227, 8224, 8225
INTERNAL_PORTS = (7740, 7755)
CONFIGURATION_PATH = "/api/config"
HEARTBEAT_PATH = "/api/instances/"
EVACUATION_PATH = "/api/evacuations/"
LOOKUP_PATH = "/api/lookup"


def write_settings(
    name: str,
    role: str,
    address: str,
    data_centre: str,
    seeds: tuple[str, ...],
    data_folder: str,
    heartbeat_period: Milliseconds,
    *,
    is_first_start: bool,
    tolerated_failures: int = 1,
    memory_mebibytes: float = 300.0,
) -> dict[str, Any]:
    """Return the content of a settings file; `seeds` are addresses of control instances."""
    endpoints = (
        {"control": f"{address}:{CONTROL_PORT}"}
        if role == "control"
        else {
            "front": f"{address}:{CALLER_PORT}",
            "readinessAddress": f"{address}:{READINESS_PORT}",
            "directory": f"{address}:{DIRECTORY_PORT}",
        }
    )
    return {
        "nodeName": name,
        "ip": address,
        "zone": data_centre,
        "bindAddresses": endpoints,
        "internalPortRange": list(INTERNAL_PORTS),
        "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds],
        "bootstrap": is_first_start,
        "dataDir": data_folder,
        "heartbeatMs": heartbeat_period,
        "faultTolerance": {"machines": tolerated_failures},
        "limits": {"memoryMb": memory_mebibytes},
    }


def write_heartbeat(statement: UpstreamStatement) -> dict[str, Any]:
    """Return the body of an upstream's heartbeat."""
    return {
        "service": statement.service,
        "address": statement.address,
        "zone": statement.data_centre,
        "version": "v1",
        "slots": statement.slots,
        "state": statement.state,
        "warmupLeftMs": statement.warm_up,
        "sequence": statement.sequence,
        "born": statement.born,
    }


def write_configuration(configuration: RouteConfiguration) -> dict[str, Any]:
    """Return the configuration document that an operator sends."""
    limits = configuration.limits
    return {
        "version": configuration.version,
        "routes": [_write_route(route) for route in configuration.routes],
        "services": [
            {
                "name": item.name,
                "healthPath": item.health_path,
                "maxConnections": item.connection_limit,
                **_write_warm_up(item),
            }
            for item in configuration.services.values()
        ],
        "limits": {
            "maxHeaderBytes": limits.header_bytes,
            "maxBodyBytes": limits.body_bytes,
            "headerTimeoutMs": limits.header_timeout,
            "idleTimeoutMs": limits.idle_timeout,
        },
    }


def write_request(
    method: str, host: str, target: str, request_id: str, left: Milliseconds, body: bytes = b""
) -> bytes:
    """Return the bytes of a caller's request with `left` ms until its deadline."""
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{REQUEST_ID}: {request_id}\r\n"
        f"{TIME_LEFT}: {int(left)}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1") + body


def read_addresses(document: dict[str, Any]) -> tuple[list[str], Milliseconds]:
    """Return the entry addresses in a directory answer and its time to live."""
    return list(document["addrs"]), float(document["ttl_s"]) * SECOND


def _write_warm_up(service: UpstreamService) -> dict[str, Any]:
    if not service.warm_up_rate:
        return {}
    return {"warmupS": service.warm_up / SECOND, "warmupPerS": service.warm_up_rate}


def _write_route(route: Route) -> dict[str, Any]:
    document: dict[str, Any] = {
        "name": route.name,
        "host": route.host,
        "pathPrefix": route.path_prefix,
        "routeType": "idempotent" if route.is_idempotent else "non_idempotent",
        "timeoutMs": route.timeout,
        "targetLatencyMs": route.target_latency,
        "priority": route.rank,
        "maxAttempts": route.most_attempts,
    }
    if route.shards:
        return document | {
            "shardServices": list(route.shards),
            "topK": route.top_records,
            "minShardShare": route.least_share,
        }
    if len(route.services) == 1:
        return document | {"service": route.services[0].service}
    return document | {
        "trafficSplit": [
            {"service": item.service, "weight": item.weight} for item in route.services
        ]
    }
