"""The settings file of the platform, decoded into what the daemons need."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import FulmarholdError
from fulmarhold.settings.loading import LARGEST_FILE_BYTES, InvalidSettings, Problem, load_document
from fulmarhold.settings.processes import Endpoint

# Callers keep a directory answer for this long, a few of them three times as long. Shorter answers
# cost a look-up (two trips) for each request of a caller that asks seldom; longer ones lead more
# callers to an entry that has gone dark. An entry that leaves serves on for as long.
ANSWER_KEPT: Milliseconds = 3_000.0
# Named in the deploy file too; the platform fetches the metrics of every instance there.
METRICS_PORT = 9_464
SETTINGS_VARIABLE = "FULMARHOLD_SETTINGS"


@dataclass(frozen=True)
class _Tolerance:
    machines: Annotated[int, Field(ge=0)] = 1


@dataclass(frozen=True)
class _Bounds:
    retry_ratio: Annotated[float, Field(alias="retryBudgetRatio")] = 0.2
    retry_slack: Annotated[float, Field(alias="retrySlack")] = 50
    grace_seconds: Annotated[float, Field(alias="graceS")] = 6
    longest_answer_seconds: Annotated[float, Field(alias="ttl_max_s")] = 5


@dataclass(frozen=True)
class _Addresses:
    # Where callers connect.
    callers: Annotated[Endpoint | None, Field(alias="front")] = None
    readiness: Annotated[Endpoint | None, Field(alias="readinessAddress")] = None
    # Serves operators and the heartbeats of upstreams.
    control: Endpoint | None = None
    directory: Endpoint | None = None


@dataclass(frozen=True)
class _SettingsFile:
    name: Annotated[str, Field(alias="nodeName")]
    # The address of the instance, which peers use too.
    address: Annotated[str, Field(alias="ip")]
    # Called a zone there.
    data_centre: Annotated[str, Field(alias="zone")]
    addresses: Annotated[_Addresses, Field(alias="bindAddresses")]
    internal_ports: Annotated[tuple[int, int], Field(alias="internalPortRange")]
    # The public addresses of control instances, not their internal ones.
    seeds: tuple[Endpoint, ...]
    is_first_start: Annotated[bool, Field(alias="bootstrap")] = False
    data_folder: Annotated[str | None, Field(alias="dataDir")] = None
    heartbeat_period: Annotated[Milliseconds, Field(alias="heartbeatMs")] = 1_200.0
    tolerance: Annotated[_Tolerance, Field(alias="faultTolerance")] = field(
        default_factory=_Tolerance
    )
    bounds: _Bounds = field(default_factory=_Bounds)


@dataclass(frozen=True)
class PlatformSettings:
    """What one daemon runs by; endpoints are IP:port, durations milliseconds."""

    name: str
    data_centre: str
    caller_endpoint: str
    readiness_endpoint: str
    control_endpoint: str
    directory_endpoint: str
    peer_endpoint: str
    metrics_endpoint: str
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    heartbeat_period: Milliseconds
    voters: int
    extra_share: float
    extra_slack: float
    grace: Milliseconds


def settings_path() -> Path:
    """Return the path of the settings file; raises `FulmarholdError` where none is named."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise FulmarholdError(f"{SETTINGS_VARIABLE} must name the settings file", step="starting")
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read the settings file; raises `InvalidSettings` that names what is wrong."""
    try:
        if path.stat().st_size > LARGEST_FILE_BYTES:
            raise InvalidSettings(
                str(path), [Problem("", f"is larger than {LARGEST_FILE_BYTES} bytes")]
            )
        document = json.loads(path.read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise InvalidSettings(str(path), [Problem("", f"can't be read: {error}")]) from error
    return decode_settings(document, str(path))


def decode_settings(document: Any, source: str) -> PlatformSettings:
    """Decode the values of a settings file; unknown fields are left alone."""
    values = load_document(document, _SettingsFile, source)
    peer_port, _ = values.internal_ports
    return PlatformSettings(
        name=values.name,
        data_centre=values.data_centre,
        caller_endpoint=values.addresses.callers or "",
        readiness_endpoint=values.addresses.readiness or "",
        control_endpoint=values.addresses.control or "",
        directory_endpoint=values.addresses.directory or "",
        peer_endpoint=f"{values.address}:{peer_port}",
        metrics_endpoint=f"{values.address}:{METRICS_PORT}",
        seeds=tuple(f"{seed.rpartition(':')[0]}:{peer_port}" for seed in values.seeds),
        is_first_start=values.is_first_start,
        data_folder=values.data_folder or "",
        heartbeat_period=values.heartbeat_period,
        voters=2 * values.tolerance.machines + 1,
        extra_share=values.bounds.retry_ratio,
        extra_slack=values.bounds.retry_slack,
        grace=values.bounds.grace_seconds * SECOND,
    )
