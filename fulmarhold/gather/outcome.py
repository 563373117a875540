"""Outcomes of requests and the enumerations of their reasons."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fulmarhold.errors import FulmarholdError


class NotRunReason(Enum):
    """Why a request was not run; each reason is counted separately."""

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
    """Why it is unknown whether a non-idempotent request ran."""

    CONNECTION_LOST = "connection_lost"
    DEADLINE = "deadline"
    UNUSABLE_RESPONSE = "unusable_response"
    EARLIER_ATTEMPT = "earlier_attempt"


class MissingReason(Enum):
    """Why the part of a shard is missing from an answer."""

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
    """Raised when a request is not run, with the reason."""

    def __init__(self, reason: NotRunReason, detail: str = "") -> None:
        super().__init__(detail or reason.value, step="admitting")
        self.reason = reason


@dataclass(frozen=True)
class Snapshot:
    """The shard layout and index version that all parts of an answer come from."""

    layout: str
    version: int


@dataclass(frozen=True)
class Coverage:
    """How many of all shards of the layout an answer covers, and why the others are missing."""

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
    """Parts by shard, all from `snapshot`.

    `sufficient` tells whether the coverage reaches the service's least coverage.
    """

    snapshot: Snapshot
    coverage: Coverage
    parts: dict[int, bytes]
    sufficient: bool


@dataclass(frozen=True)
class NotRun:
    """No part of the request was run or will be run."""

    reason: NotRunReason
    detail: str = ""


@dataclass(frozen=True)
class Unknown:
    """A non-idempotent request that may have run, but at most once."""

    reason: UnknownReason
    detail: str = ""


Outcome = Answered | NotRun | Unknown
