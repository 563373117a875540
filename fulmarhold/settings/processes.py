"""Schemas of the daemons' settings files: listening addresses, peers, data folder and logging."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import AfterValidator, ConfigDict, Field

from fulmarhold.limits.memory import DEFAULT_PROCESS_BYTES, MEBIBYTE
from fulmarhold.settings.endpoints import check_address, check_endpoint

STRICT = ConfigDict(extra="forbid")

Port = Annotated[int, Field(ge=1, le=65_535)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


Address = Annotated[str, AfterValidator(check_address)]
Endpoint = Annotated[str, AfterValidator(check_endpoint)]


@dataclass(frozen=True)
class LogSettings:
    """Settings of the daemon's log."""

    __pydantic_config__ = STRICT

    level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True)
class EntrySettings:
    """Settings of `fulmarhold-entry`."""

    __pydantic_config__ = STRICT

    name: Name
    data_centre: Name
    address: Address
    caller_port: Port
    peer_port: Port
    control: Annotated[tuple[Endpoint, ...], Field(min_length=1, max_length=7)]
    log: LogSettings = field(default_factory=LogSettings)
    memory_mebibytes: Annotated[int, Field(ge=64)] = DEFAULT_PROCESS_BYTES // MEBIBYTE

    @property
    def caller_endpoint(self) -> str:
        return f"{self.address}:{self.caller_port}"

    @property
    def peer_endpoint(self) -> str:
        return f"{self.address}:{self.peer_port}"


@dataclass(frozen=True)
class ControlSettings:
    """Settings of `fulmarhold-control`."""

    __pydantic_config__ = STRICT

    name: Name
    data_centre: Name
    address: Address
    operator_port: Port
    peer_port: Port
    data_folder: Annotated[str, Field(min_length=1)]
    log: LogSettings = field(default_factory=LogSettings)

    @property
    def operator_endpoint(self) -> str:
        return f"{self.address}:{self.operator_port}"

    @property
    def peer_endpoint(self) -> str:
        return f"{self.address}:{self.peer_port}"
