"""Requests to be forwarded, replies of upstreams, and outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fulmarhold.clock import Milliseconds

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class ForwardRequest:
    """One request of a caller; method, target, headers and body are forwarded unchanged.

    `request_id` identifies this attempt of the caller. `deadline_at` is a time on this entry's
    clock. `is_first` tells that the caller had to connect for this request. `round_trip` is the
    round trip time to the caller, zero if unknown. `owners` names those whose share of the memory
    the request and its answer take.
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
    owners: tuple[str, ...] = ()

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
    NO_MEMORY = "no_memory"


class FailedReason(Enum):
    """Why a request that may have been run has no answer."""

    CONNECTION_LOST = "connection_lost"
    WRONG_ECHO = "wrong_echo"
    UPSTREAM_ERROR = "upstream_error"
    PARTS_MISSING = "parts_missing"
    DEADLINE = "deadline"
    STOPPING = "stopping"
    CALLER_GONE = "caller_gone"


class Verdict(Enum):
    """The classification of an upstream's response."""

    SUCCESS = "success"
    FAILURE = "failure"
    NOT_RUN = "not_run"
    OTHER_OWNER = "other_owner"
    WRONG_ECHO = "wrong_echo"


@dataclass(frozen=True)
class Reply:
    """An upstream's response, with its classification and the signature that proves its origin.

    `warm_up` is for how many ms the upstream says that it stays cold, zero if it says nothing.
    """

    verdict: Verdict
    status: int
    headers: Headers
    body: bytes
    signature: str
    warm_up: Milliseconds = 0.0


@dataclass(frozen=True)
class Relayed:
    """The response of one upstream, relayed to the caller unchanged."""

    reply: Reply


@dataclass(frozen=True)
class Gathered:
    """The greatest records of the received parts, in descending order."""

    signatures: tuple[str, ...]
    missing: int
    records: bytes


@dataclass(frozen=True)
class Refused:
    """Not run, and never will be; the caller may retry after `retry_after` milliseconds."""

    reason: RefusedReason
    retry_after: Milliseconds


@dataclass(frozen=True)
class NoRoute:
    """No route of the current configuration matches."""

    version: int


@dataclass(frozen=True)
class Failed:
    """The request may have been run, and there is no answer."""

    reason: FailedReason
    detail: str = ""


Outcome = Relayed | Gathered | Refused | NoRoute | Failed
