"""Requests to be forwarded, replies of upstreams, and outcomes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from fulmarhold.accounts.account_state import QuotaExceeded, QuotaUnknown
from fulmarhold.clock import Milliseconds

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class ForwardRequest:
    """One request of a caller; method, target, headers and body are forwarded unchanged.

    `request_id` identifies this attempt of the caller. `deadline_at` is a time on this entry's
    clock. `is_first` tells that the caller had to connect for this request. `round_trip` is the
    round trip time to the caller, zero if unknown. `owners` names those whose share of the memory
    the request and its answer take. `key` is the key that the caller sent. `account` is the name of
    the client account that it belongs to, empty if none is needed; it is set when the key has been
    checked.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers = field(repr=False)
    body: bytes
    received_at: Milliseconds
    deadline_at: Milliseconds
    is_first: bool = False
    round_trip: Milliseconds = 0.0
    owners: tuple[str, ...] = ()
    key: bytes = field(default=b"", repr=False)
    account: str = ""

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


def account_owners(account: str) -> tuple[str, ...]:
    """Return the owners of what is held for requests of a client account, if there is one."""
    return (f"client account {account}",) if account else ()


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
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNKNOWN = "quota_unknown"


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
    """An upstream's response, with its classification and the signature that proves its origin."""

    verdict: Verdict
    status: int
    headers: Headers
    body: bytes
    signature: str


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


def refusal_beyond_quota(admission: QuotaExceeded | QuotaUnknown) -> Refused:
    """Return the refusal of a request that the quota of its account does not admit."""
    is_known = isinstance(admission, QuotaExceeded)
    reason = RefusedReason.QUOTA_EXCEEDED if is_known else RefusedReason.QUOTA_UNKNOWN
    return Refused(reason, admission.retry_after)


@dataclass(frozen=True)
class NoRoute:
    """No route of the current configuration matches."""

    version: int


class UnauthorizedReason(Enum):
    """Why a request that needs the key of an account has none."""

    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"


@dataclass(frozen=True)
class Unauthorized:
    """The route needs the key of a client account, and the request has none that is valid."""

    reason: UnauthorizedReason


@dataclass(frozen=True)
class Failed:
    """The request may have been run, and there is no answer."""

    reason: FailedReason
    detail: str = ""


Outcome = Relayed | Gathered | Refused | NoRoute | Unauthorized | Failed
