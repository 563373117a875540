"""Loading of the platform's JSON settings file."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta, Struct, field

from fulmarhold.accounts.bucket import QuotaBound
from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import FulmarholdError
from fulmarhold.limits.budget import ExtraLoadBound
from fulmarhold.limits.cold import DEFAULT_BOUND, WarmUpBound
from fulmarhold.limits.memory import MEBIBYTE
from fulmarhold.settings.problems import MAX_FILE_BYTES, InvalidSettings, Problem
from fulmarhold.settings.structs import decode_struct, require_endpoint

# How long callers cache a directory answer; a few cache it three times as long. With a shorter TTL,
# callers with few requests need a lookup (two round trips) for each one; with a longer TTL, more
# callers connect to an entry that has failed. An entry that stops keeps serving for this long.
DIRECTORY_ANSWER_TTL: Milliseconds = 3_000.0
# Also named in the deployment file: the platform scrapes every instance's metrics on this port.
METRICS_PORT = 9_464
SETTINGS_VARIABLE = "FULMARHOLD_SETTINGS"
DEFAULT_QUOTA_BOUND = QuotaBound()


Count = Annotated[int, Meta(ge=0)]


class _Tolerance(Struct, frozen=True):
    machines: Count = 1


class _Bounds(Struct, frozen=True):
    retry_ratio: float = field(default=0.2, name="retryBudgetRatio")
    retry_slack: float = field(default=50.0, name="retrySlack")
    retry_window_seconds: Annotated[float, Meta(gt=0)] = field(default=10.0, name="retryWindowS")
    grace_seconds: float = field(default=6.0, name="graceS")
    max_ttl_seconds: float = field(default=5.0, name="ttl_max_s")
    # Whether the time in which withdrawn keys end holds on instances without contact, too.
    is_revoke_strict: bool = field(default=False, name="strictRevoke")
    revoke_within: Annotated[Milliseconds, Meta(gt=0)] = field(default=5_000.0, name="revokeMs")
    quota_window_seconds: Annotated[float, Meta(gt=0)] = field(default=5.0, name="quotaWindowS")
    quota_overage: Annotated[float, Meta(ge=0)] = field(default=0.1, name="quotaOverage")
    quota_slack: Annotated[float, Meta(ge=0)] = field(default=20.0, name="quotaSlack")
    warm_up_overage: Annotated[float, Meta(ge=0)] = field(
        default=WarmUpBound.overage, name="warmupOverage"
    )
    warm_up_slack: Annotated[float, Meta(ge=0)] = field(
        default=WarmUpBound.slack, name="warmupSlack"
    )


class _Limits(Struct, frozen=True):
    # Of one process.
    memory_mebibytes: Annotated[float, Meta(ge=0)] | None = field(default=None, name="memoryMb")


class _Addresses(Struct, frozen=True):
    # The endpoint for callers.
    callers: str | None = field(default=None, name="front")
    readiness: str | None = field(default=None, name="readinessAddress")
    # The endpoint for operators and the heartbeats of upstreams.
    control: str | None = None
    directory: str | None = None


class _SettingsFile(Struct, frozen=True):
    name: str = field(name="nodeName")
    # The address of the instance, also used by its peers.
    address: str = field(name="ip")
    # The platform calls a data centre a zone.
    data_centre: str = field(name="zone")
    addresses: _Addresses = field(name="bindAddresses")
    internal_ports: tuple[int, int] = field(name="internalPortRange")
    # The public endpoints of control instances, not their internal ones.
    seeds: tuple[str, ...]
    is_first_start: bool = field(default=False, name="bootstrap")
    data_folder: str | None = field(default=None, name="dataDir")
    heartbeat_period: Milliseconds = field(default=1_200.0, name="heartbeatMs")
    fault_tolerance: _Tolerance = field(default=_Tolerance(), name="faultTolerance")
    bounds: _Bounds = _Bounds()
    limits: _Limits | None = None


@dataclass(frozen=True)
class PlatformSettings:
    """The settings of one daemon; endpoints are IP:port, durations are in milliseconds."""

    name: str
    data_centre: str
    caller_endpoint: str
    readiness_endpoint: str
    control_endpoint: str
    directory_endpoint: str
    peer_endpoint: str
    # Where an entry collects parts for others; the port is the same on all instances.
    collector_endpoint: str
    metrics_endpoint: str
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    heartbeat_period: Milliseconds
    voters: int
    extra_load: ExtraLoadBound
    grace: Milliseconds
    # How much memory the process may use, zero if that is not limited.
    memory_bytes: int = 0
    # After this time no instance accepts a withdrawn key, even without contact; `None` if only
    # instances in contact with control have to end it.
    revoke_within: Milliseconds | None = None
    quota_bound: QuotaBound = DEFAULT_QUOTA_BOUND
    warm_up: WarmUpBound = DEFAULT_BOUND


def settings_path() -> Path:
    """Return the path of the settings file; raises `FulmarholdError` if none is set."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise FulmarholdError(f"{SETTINGS_VARIABLE} must name the settings file", step="starting")
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read the settings file; raises `InvalidSettings` that lists the problems."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise InvalidSettings(
                str(path), [Problem("", f"is larger than {MAX_FILE_BYTES} bytes")]
            )
        document = json.loads(path.read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise InvalidSettings(str(path), [Problem("", f"can't be read: {error}")]) from error
    return decode_settings(document, str(path))


def decode_settings(document: Any, source: str) -> PlatformSettings:
    """Decode the values of a settings file; unknown fields are ignored."""
    values = decode_struct(document, _SettingsFile, source)
    addresses, limits = values.addresses, values.limits or _Limits()
    endpoints = {
        "bindAddresses.front": addresses.callers,
        "bindAddresses.readinessAddress": addresses.readiness,
        "bindAddresses.control": addresses.control,
        "bindAddresses.directory": addresses.directory,
        **{f"seeds[{number}]": seed for number, seed in enumerate(values.seeds)},
    }
    for path, endpoint in endpoints.items():
        if endpoint is not None:
            require_endpoint(endpoint, path, source)
    peer_port, last_port = values.internal_ports
    return PlatformSettings(
        name=values.name,
        data_centre=values.data_centre,
        caller_endpoint=addresses.callers or "",
        readiness_endpoint=addresses.readiness or "",
        control_endpoint=addresses.control or "",
        directory_endpoint=addresses.directory or "",
        peer_endpoint=f"{values.address}:{peer_port}",
        collector_endpoint=f"{values.address}:{min(peer_port + 1, last_port)}",
        metrics_endpoint=f"{values.address}:{METRICS_PORT}",
        seeds=tuple(f"{seed.rpartition(':')[0]}:{peer_port}" for seed in values.seeds),
        is_first_start=values.is_first_start,
        data_folder=values.data_folder or "",
        heartbeat_period=values.heartbeat_period,
        voters=2 * values.fault_tolerance.machines + 1,
        extra_load=ExtraLoadBound(
            values.bounds.retry_ratio,
            values.bounds.retry_slack,
            values.bounds.retry_window_seconds * SECOND,
        ),
        grace=values.bounds.grace_seconds * SECOND,
        warm_up=WarmUpBound(values.bounds.warm_up_overage, values.bounds.warm_up_slack),
        memory_bytes=int(limits.memory_mebibytes or 0) * MEBIBYTE,
        revoke_within=values.bounds.revoke_within if values.bounds.is_revoke_strict else None,
        quota_bound=QuotaBound(
            values.bounds.quota_window_seconds * SECOND,
            values.bounds.quota_overage,
            values.bounds.quota_slack,
        ),
    )
