"""The outcomes of a request, and the closed sets of their reasons."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fulmarhold.errors import FulmarholdError


class NotRunReason(Enum):
    """Why a request was not run; each has its own counter."""

    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_REQUEST_TYPE = "unknown_request_type"
    MALFORMED_REQUEST = "malformed_request"
    BODY_TOO_LARGE = "body_too_large"
    DEADLINE_MISSING = "deadline_missing"
    DEADLINE_PAST = "deadline_past"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    OVERLOADED = "overloaded"
    CONFIGURATION_UNKNOWN = "configuration_unknown"
    CONFIGURATION_UNCONFIRMED = "configuration_unconfirmed"
    LAYOUT_UNKNOWN = "layout_unknown"
    COVERAGE_UNREACHABLE = "coverage_unreachable"
    NO_LIVE_REPLICA = "no_live_replica"
    SHED = "shed"
    KEY_MISSING = "key_missing"
    KEY_INVALID = "key_invalid"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    CLAIMS_FULL = "claims_full"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    ATTEMPT_OVER = "attempt_over"


class UnknownReason(Enum):
    """Why it is not known whether a non-idempotent request ran."""

    CONNECTION_LOST = "connection_lost"
    DEADLINE = "deadline"
    UNUSABLE_RESPONSE = "unusable_response"
    EARLIER_ATTEMPT = "earlier_attempt"


class MissingReason(Enum):
    """Why a shard's part is not in an answer."""

    NO_LIVE_REPLICA = "no_live_replica"
    SHED = "shed"
    CONNECTION_LOST = "connection_lost"
    SNAPSHOT_GONE = "snapshot_gone"
    WRONG_ECHO = "wrong_echo"
    UPSTREAM_ERROR = "upstream_error"
    DEADLINE = "deadline"
    LATE = "late"
    BUDGET_SPENT = "budget_spent"


class Refused(FulmarholdError):
    """The request is not run, for one of the closed set of reasons."""

    def __init__(self, reason: NotRunReason, detail: str = "") -> None:
        super().__init__(detail or reason.value, step="admitting")
        self.reason = reason


@dataclass(frozen=True)
class Snapshot:
    """The one layout and index version that an answer comes from."""

    layout: str
    version: int


@dataclass(frozen=True)
class Coverage:
    """How much of the snapshot an answer holds; the total is that of the layout."""

    total: int
    missing: dict[int, MissingReason]

    @property
    def covered(self) -> int:
        return self.total - len(self.missing)

    @property
    def share(self) -> float:
        return self.covered / self.total


@dataclass(frozen=True)
class Answered:
    """Parts by shard, all from `snapshot`; `sufficient` compares with the least coverage."""

    snapshot: Snapshot
    coverage: Coverage
    parts: dict[int, bytes]
    sufficient: bool


@dataclass(frozen=True)
class NotRun:
    """Nothing of the request was run, and nothing of it will be."""

    reason: NotRunReason
    detail: str = ""


@dataclass(frozen=True)
class Unknown:
    """A non-idempotent request that may have run, once at most."""

    reason: UnknownReason
    detail: str = ""


Outcome = Answered | NotRun | Unknown
