"""Schema of the questionnaire that an operator fills in; all settings are derived from it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import ConfigDict, Field, model_validator
from pydantic.dataclasses import dataclass as checked_dataclass

from fulmarhold.configuration import PositiveInteger, PositiveMilliseconds, Priority, Urgency
from fulmarhold.settings.processes import Name

STRICT = ConfigDict(extra="forbid")

MAX_SHARDS = 10_000


@dataclass(frozen=True)
class Distances:
    """One-way delays in milliseconds."""

    __pydantic_config__ = STRICT

    between_data_centres_ms: Annotated[float, Field(ge=0, le=500)]
    from_callers_ms: Annotated[float, Field(ge=0, le=500)]


@dataclass(frozen=True)
class RequestAnswers:
    """One request type and whether it is idempotent, that is, safe to repeat."""

    __pydantic_config__ = STRICT

    name: Name
    idempotent: bool


@checked_dataclass(frozen=True, config=STRICT)
class ServiceAnswers:
    """An operator's answers about one service, that is, one search index."""

    name: Name
    shards: Annotated[int, Field(ge=1, le=MAX_SHARDS)]
    servers: PositiveInteger
    slots: PositiveInteger
    connections: PositiveInteger
    connection_cost_ms: Annotated[float, Field(ge=0, le=10_000)]
    priority: Priority
    urgency: Urgency
    deadline_ms: PositiveMilliseconds
    least_coverage: Annotated[float, Field(ge=0, le=1)]
    requests: Annotated[tuple[RequestAnswers, ...], Field(min_length=1)]

    @model_validator(mode="after")
    def _check(self) -> ServiceAnswers:
        if self.servers % self.shards:
            raise ValueError(
                f"servers ({self.servers}) must be a whole multiple of shards ({self.shards}), "
                "so that every shard has equally many replicas"
            )
        names = [request.name for request in self.requests]
        if len(set(names)) != len(names):
            raise ValueError("requests must have different names")
        return self


@checked_dataclass(frozen=True, config=STRICT)
class Questionnaire:
    """The whole questionnaire of one deployment."""

    deployment: Name
    data_centres: Annotated[tuple[Name, ...], Field(min_length=1, max_length=64)]
    distances: Distances
    entries: Annotated[int, Field(ge=1, le=1_000)]
    control_instances: Annotated[int, Field(ge=1, le=7)]
    services: Annotated[tuple[ServiceAnswers, ...], Field(min_length=1)]

    @model_validator(mode="after")
    def _check(self) -> Questionnaire:
        names = [service.name for service in self.services]
        if len(set(names)) != len(names):
            raise ValueError("services must have different names")
        if self.control_instances % 2 == 0:
            raise ValueError("control_instances must be odd: 1, 3, 5 or 7")
        return self
