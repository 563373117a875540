"""Requests of callers as they are forwarded, and the outcomes that they can have."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fulmarhold.clock import Milliseconds

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class ForwardRequest:
    """One request; method, target, headers and body go on as they came.

    `request_id` names this attempt of the caller, `deadline_at` is on this entry's clock;
    `is_first` tells that the caller had to connect for it; `round_trip` is the time from here to
    the caller and back, zero where it is not known.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    received_at: Milliseconds
    deadline_at: Milliseconds
    is_first: bool = False
    round_trip: Milliseconds = 0.0

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


class RefusedReason(Enum):
    """Why a request was not run."""

    NO_CONFIGURATION = "no_configuration"
    NO_UPSTREAM = "no_upstream"
    UPSTREAMS_FULL = "upstreams_full"
    UNREACHABLE = "unreachable"
    NO_TIME = "no_time"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"


class FailedReason(Enum):
    """Why a request that may have run has no answer."""

    CONNECTION_LOST = "connection_lost"
    WRONG_ECHO = "wrong_echo"
    UPSTREAM_ERROR = "upstream_error"
    PARTS_MISSING = "parts_missing"
    DEADLINE = "deadline"
    CALLER_GONE = "caller_gone"


class Verdict(Enum):
    """What an upstream's response says."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    OTHER_OWNER = "other_owner"
    WRONG_ECHO = "wrong_echo"


@dataclass(frozen=True)
class Reply:
    """An upstream's response, with what it means and the signature that proves it."""

    verdict: Verdict
    status: int
    headers: Headers
    body: bytes
    signature: str


@dataclass(frozen=True)
class Relayed:
    """The response of one upstream, to be passed on unchanged."""

    reply: Reply


@dataclass(frozen=True)
class Gathered:
    """The greatest records of the parts that are in, greatest first."""

    signatures: tuple[str, ...]
    missing: int
    records: bytes


@dataclass(frozen=True)
class Refused:
    """Not run, and never will be; the caller may come back after `retry_after` milliseconds."""

    reason: RefusedReason
    retry_after: Milliseconds


@dataclass(frozen=True)
class NoRoute:
    """No route of the configuration in force matches."""

    version: int


@dataclass(frozen=True)
class Failed:
    """It may have run, and there is no answer."""

    reason: FailedReason
    detail: str = ""


Outcome = Relayed | Gathered | Refused | NoRoute | Failed
