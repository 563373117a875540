"""Requests to be forwarded, replies of upstreams, and outcomes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from fulmarhold.accounts.account_state import QuotaExceeded, QuotaUnknown
from fulmarhold.accounts.keys import KeyRefusal
from fulmarhold.clock import Milliseconds

Headers = tuple[tuple[str, str], ...]

# Statuses by which callers know that a request has not run and never will; they send it again.
NOT_RUN_STATUSES = (408, 421, 429, 503)


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
    PAUSED = "paused"
    # All upstreams are cold, and bear no more requests now.
    COLD = "cold"
    LEAVING = "leaving"
    # Room was short, and the account asks for more than usual.
    ACCOUNT_EXCESS = "account_excess"
    # Whether the key is still valid is not known.
    KEYS_UNCONFIRMED = "keys_unconfirmed"
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
class Pause:
    """A request for no further work for `length` ms; zero if the value is ignored as it is odd.

    `oddity` tells why a value was ignored or capped.
    """

    length: Milliseconds
    is_ignored: bool = False
    oddity: str = ""


@dataclass(frozen=True)
class Reply:
    """An upstream's response, with its classification and the signature that proves its origin.

    `is_leaving` and `pause` are what it says about further work. `sender` names the upstream that
    answered if it is not the one that was asked. `warm_up` is for how many ms the upstream says
    that it stays cold, zero if it says nothing.
    """

    verdict: Verdict
    status: int
    headers: Headers
    body: bytes
    signature: str
    is_leaving: bool = False
    pause: Pause | None = None
    sender: str = ""
    warm_up: Milliseconds = 0.0

    @property
    def is_pausing(self) -> bool:
        """Whether the upstream wants no work for a while, which is no sign of ill health."""
        return self.pause is not None and not self.pause.is_ignored

    @property
    def reads_as_not_run(self) -> bool:
        """Whether a caller would conclude from the status that its request has not run."""
        return self.status in NOT_RUN_STATUSES

    @property
    def shows_service(self) -> bool:
        """Whether the upstream has done the work of a request."""
        is_failure = self.verdict is Verdict.FAILURE
        return self.verdict is Verdict.SUCCESS or (
            is_failure and self.status < 500 and not self.is_pausing
        )


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


@dataclass(frozen=True)
class Unauthorized:
    """The route needs the key of a client account, and the request has none that is valid."""

    reason: KeyRefusal


@dataclass(frozen=True)
class Failed:
    """The request may have been run, and there is no answer."""

    reason: FailedReason
    detail: str = ""


Outcome = Relayed | Gathered | Refused | NoRoute | Unauthorized | Failed
