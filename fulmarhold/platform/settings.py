"""The settings file of the platform, decoded into what the daemons need."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from msgspec import Meta, Struct, field

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import FulmarholdError
from fulmarhold.limits.budget import ExtraLoadBound
from fulmarhold.settings.problems import LARGEST_FILE_BYTES, InvalidSettings, Problem
from fulmarhold.settings.structs import decode_struct, require_endpoint

# Callers keep a directory answer for this long, a few of them three times as long. Shorter answers
# cost a look-up (two trips) for each request of a caller that asks seldom; longer ones lead more
# callers to an entry that has gone dark. An entry that leaves serves on for as long.
ANSWER_KEPT: Milliseconds = 3_000.0
# Named in the deploy file too; the platform fetches the metrics of every instance there.
METRICS_PORT = 9_464
SETTINGS_VARIABLE = "FULMARHOLD_SETTINGS"


Count = Annotated[int, Meta(ge=0)]


class _Tolerance(Struct, frozen=True):
    machines: Count = 1


class _Bounds(Struct, frozen=True):
    retry_ratio: float = field(default=0.2, name="retryBudgetRatio")
    retry_slack: float = field(default=50.0, name="retrySlack")
    retry_window_seconds: Annotated[float, Meta(gt=0)] = field(default=10.0, name="retryWindowS")
    grace_seconds: float = field(default=6.0, name="graceS")
    longest_answer_seconds: float = field(default=5.0, name="ttl_max_s")


class _Addresses(Struct, frozen=True):
    # Where callers connect.
    callers: str | None = field(default=None, name="front")
    readiness: str | None = field(default=None, name="readinessAddress")
    # Serves operators and the heartbeats of upstreams.
    control: str | None = None
    directory: str | None = None


class _SettingsFile(Struct, frozen=True):
    name: str = field(name="nodeName")
    # The address of the instance, which peers use too.
    address: str = field(name="ip")
    # Called a zone there.
    data_centre: str = field(name="zone")
    addresses: _Addresses = field(name="bindAddresses")
    internal_ports: tuple[int, int] = field(name="internalPortRange")
    # The public addresses of control instances, not their internal ones.
    seeds: tuple[str, ...]
    is_first_start: bool = field(default=False, name="bootstrap")
    data_folder: str | None = field(default=None, name="dataDir")
    heartbeat_period: Milliseconds = field(default=1_200.0, name="heartbeatMs")
    tolerance: _Tolerance = field(default=_Tolerance(), name="faultTolerance")
    bounds: _Bounds = _Bounds()


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
    extra_load: ExtraLoadBound
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
    values = decode_struct(document, _SettingsFile, source)
    bound = values.addresses
    named = {
        "bindAddresses.front": bound.callers,
        "bindAddresses.readinessAddress": bound.readiness,
        "bindAddresses.control": bound.control,
        "bindAddresses.directory": bound.directory,
        **{f"seeds[{number}]": seed for number, seed in enumerate(values.seeds)},
    }
    for path, endpoint in named.items():
        if endpoint is not None:
            require_endpoint(endpoint, path, source)
    peer_port, _ = values.internal_ports
    return PlatformSettings(
        name=values.name,
        data_centre=values.data_centre,
        caller_endpoint=bound.callers or "",
        readiness_endpoint=bound.readiness or "",
        control_endpoint=bound.control or "",
        directory_endpoint=bound.directory or "",
        peer_endpoint=f"{values.address}:{peer_port}",
        metrics_endpoint=f"{values.address}:{METRICS_PORT}",
        seeds=tuple(f"{seed.rpartition(':')[0]}:{peer_port}" for seed in values.seeds),
        is_first_start=values.is_first_start,
        data_folder=values.data_folder or "",
        heartbeat_period=values.heartbeat_period,
        voters=2 * values.tolerance.machines + 1,
        extra_load=ExtraLoadBound(
            values.bounds.retry_ratio,
            values.bounds.retry_slack,
            values.bounds.retry_window_seconds * SECOND,
        ),
        grace=values.bounds.grace_seconds * SECOND,
    )
