"""Conversion between the platform's HTTP headers and internal requests, replies and outcomes."""

from __future__ import annotations

import math
import re
from dataclasses import replace
from typing import TYPE_CHECKING

from fulmarhold.clock import HOUR, MINUTE, SECOND, Milliseconds
from fulmarhold.forwarding.request import (
    Failed,
    FailedReason,
    ForwardRequest,
    Gathered,
    NoRoute,
    Pause,
    Refused,
    RefusedReason,
    Relayed,
    Reply,
    Unauthorized,
    Verdict,
    account_owners,
)
from fulmarhold.web.front import RawRequest, RawResponse

if TYPE_CHECKING:
    from fulmarhold.forwarding.request import Headers, Outcome
    from fulmarhold.upstreams.protocol import UpstreamResponse

# Identifies one attempt of a caller; upstreams echo it.
REQUEST_ID = "X-Fulmarhold-Attempt-Id"
# The remaining time in milliseconds, not a point in time.
TIME_LEFT = "X-Fulmarhold-Request-Deadline"
# The only upstream incarnation that may serve the request.
TARGET = "X-Fulmarhold-Target-Instance"
# Proves which upstream answered which request.
SIGNATURE = "X-Fulmarhold-Server-Stamp"
NOT_RUN = "X-Fulmarhold-Not-Executed"
UPSTREAM_ID = "X-Fulmarhold-Instance-Id"
# For how many milliseconds the upstream stays cold.
WARM_UP_LEFT = "X-Fulmarhold-Warmup-Remaining"
# Longer warm-ups are taken as this one.
MAX_WARM_UP: Milliseconds = 1 * HOUR
# The signatures of the partial responses in a merged response.
PART_SIGNATURES = "X-Fulmarhold-Part-Stamps"
# The number of shards without a partial response, not their names.
PARTS_MISSING = "X-Fulmarhold-Missing-Parts"
# Carries the key of a client account, which no upstream may see.
KEY = "Authorization"
KEY_SCHEME = "bearer"
# The client account of a request; the platform calls it a tenant.
ACCOUNT = "X-Fulmarhold-Tenant"

# Says that the upstream leaves and takes no new work.
LEAVING = ("Server-Leaving", "X-Fulmarhold-Server-Leaving")
RETRY_AFTER = "Retry-After"
# Statuses with which `Retry-After` asks for a pause.
PAUSE_STATUSES = (429, 503)
MAX_PAUSE: Milliseconds = MINUTE
_SECONDS = re.compile(r"[+-]?(\d+\.?\d*|\.\d+)", re.ASCII)
_DATE = re.compile(r"[A-Za-z]{3,9},? ")

# Headers that are valid for one connection only, and those that this side writes itself.
HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
     "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect")
)  # fmt: skip
_REPLACED_HEADERS = frozenset((TIME_LEFT.lower(), TARGET.lower()))
# Replaced only where the configuration has accounts.
_ACCOUNT_HEADERS = frozenset((KEY.lower(), ACCOUNT.lower()))
MISDIRECTED = 421
# Used when a caller sends no deadline, so that only the route's timeout applies.
DEFAULT_TIME_LEFT: Milliseconds = 600_000.0


class PlatformCodec:
    """Encodes requests to upstreams and interprets their responses."""

    def for_account(self, request: ForwardRequest, account: str) -> ForwardRequest:
        """Return a request without its key, and with the header of its account if it has one."""
        headers = tuple(item for item in request.headers if item[0].lower() not in _ACCOUNT_HEADERS)
        if not account:
            return replace(request, headers=headers, key=b"")
        # The account takes the place of the host, which stands for it elsewhere.
        owners = (*request.owners[:1], *account_owners(account))
        headers = (*headers, (ACCOUNT, account))
        return replace(request, headers=headers, key=b"", account=account, owners=owners)

    def prepare(self, request: ForwardRequest) -> tuple[bytes, bytes]:
        """Return the head without the headers that differ between upstreams, and the body."""
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{key}: {value}" for key, value in request.headers]
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(request.body)}")
        return "\r\n".join(lines).encode("latin-1"), request.body

    def encode(self, prepared: tuple[bytes, bytes], upstream: str, left: Milliseconds) -> bytes:
        """Return the request bytes for one upstream."""
        head, body = prepared
        own = f"\r\n{TIME_LEFT}: {max(1, int(left))}\r\n{TARGET}: {upstream}\r\n\r\n"
        return b"".join((head, own.encode("latin-1"), body))

    def read(self, response: UpstreamResponse, request_id: str) -> Reply:
        """Return a response to the request `request_id` with its classification."""
        signature = response.header(SIGNATURE.lower())
        verdict = _classify(response, request_id, signature)
        headers = _end_to_end(response.headers)
        reply = Reply(verdict, response.status, headers, response.body, signature)
        echoed = response.header(REQUEST_ID.lower())
        if echoed and echoed != request_id:
            # The answer to another request, perhaps of another upstream.
            return reply
        is_leaving = any(response.header(name.lower()).strip() == "1" for name in LEAVING)
        pause = _read_pause(response)
        warm_up = read_warm_up(response.header(WARM_UP_LEFT.lower()))
        if not is_leaving and pause is None and not warm_up:
            return reply
        is_other = verdict is Verdict.OTHER_OWNER
        sender = response.header(UPSTREAM_ID.lower()) if is_other else ""
        return replace(reply, is_leaving=is_leaving, pause=pause, sender=sender, warm_up=warm_up)


def read_warm_up(value: str) -> Milliseconds:
    """Return for how long an upstream says that it stays cold, zero if it states no such time.

    >>> [read_warm_up(value) for value in ("1500.5", "1e12", "-1", "nan", "inf", "")]
    [1500.5, 3600000.0, 0.0, 0.0, 0.0, 0.0]
    """
    try:
        remaining = float(value)
    except ValueError:
        return 0.0
    return min(remaining, MAX_WARM_UP) if 0 < remaining < math.inf else 0.0


def read_request(raw: RawRequest) -> ForwardRequest:
    """Convert a caller's request to the internal type."""
    left = raw.header(TIME_LEFT.lower())
    allowed = float(left) if left.isdecimal() else DEFAULT_TIME_LEFT
    headers = tuple(
        (key, value)
        for key, value in _end_to_end(raw.headers)
        if key.lower() not in _REPLACED_HEADERS
    )
    return ForwardRequest(
        raw.header(REQUEST_ID.lower()),
        raw.method,
        raw.target,
        raw.header("host"),
        headers,
        raw.body,
        raw.received_at,
        raw.received_at + allowed,
        raw.is_first,
        raw.round_trip,
        raw.owners,
        _read_key(raw),
    )


def _read_key(raw: RawRequest) -> bytes:
    """Return the key of a request; empty if it has none, or more than one header that may."""
    values = [value for key, value in raw.headers if key.lower() == KEY.lower()]
    if len(values) != 1:
        return b""
    scheme, _, key = values[0].partition(" ")
    return key.strip().encode("latin-1") if scheme.lower() == KEY_SCHEME else b""


def write_outcome(outcome: Outcome) -> RawResponse:
    """Convert an outcome to the response that is sent to the caller."""
    match outcome:
        case Relayed(reply):
            return RawResponse(reply.status, reply.headers, reply.body)
        case Gathered(signatures, missing, records):
            parts = ((PART_SIGNATURES, ", ".join(signatures)), (PARTS_MISSING, str(missing)))
            return RawResponse(200, parts, records)
        case Refused(reason, retry_after):
            headers = (("Retry-After", f"{retry_after / SECOND:.3f}"),)
            status = 429 if reason is RefusedReason.QUOTA_EXCEEDED else 503
            return RawResponse(status, headers, reason.value.encode())
        case NoRoute():
            return RawResponse(404, body=b"no route")
        case Unauthorized(unauthorized):
            headers = (("WWW-Authenticate", "Bearer"),)
            return RawResponse(401, headers, unauthorized.value.encode())
        case Failed(reason, detail):
            status = 504 if reason is FailedReason.DEADLINE else 502
            return RawResponse(status, body=f"{reason.value} {detail}".strip().encode())


def _classify(response: UpstreamResponse, request_id: str, signature: str) -> Verdict:
    echoed = response.header(REQUEST_ID.lower())
    if echoed and echoed != request_id:
        return Verdict.WRONG_ECHO
    if response.status == MISDIRECTED and response.header(UPSTREAM_ID.lower()):
        return Verdict.OTHER_OWNER
    if response.header(NOT_RUN.lower()):
        return Verdict.NOT_RUN
    if 200 <= response.status < 300:
        is_own_body = signature and not response.header("content-encoding")
        return Verdict.SUCCESS if is_own_body else Verdict.WRONG_ECHO
    return Verdict.FAILURE


def _read_pause(response: UpstreamResponse) -> Pause | None:
    value = response.header(RETRY_AFTER.lower()).strip()
    if response.status not in PAUSE_STATUSES or not value:
        return None
    if not _SECONDS.fullmatch(value):
        return Pause(0.0, True, "date" if _DATE.match(value) else "not_a_number")
    length = float(value) * SECOND
    if length < 0:
        return Pause(0.0, True, "negative")
    if length > MAX_PAUSE:
        return Pause(MAX_PAUSE, False, "too_long")
    return Pause(length)


def _end_to_end(headers: Headers) -> Headers:
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return tuple((key, value) for key, value in headers if key.lower() not in dropped)
