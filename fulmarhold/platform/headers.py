"""The platform's HTTP headers towards callers and upstreams, and our types for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.clock import SECOND
from fulmarhold.forwarding.request import (
    Failed,
    FailedReason,
    ForwardRequest,
    Gathered,
    NoRoute,
    Refused,
    Relayed,
    Reply,
    Verdict,
)
from fulmarhold.web.front import RawRequest, RawResponse

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.forwarding.request import Headers, Outcome
    from fulmarhold.upstreams.protocol import UpstreamResponse

# One attempt of a caller; upstreams echo it.
REQUEST_ID = "X-Fulmarhold-Attempt-Id"
# The milliseconds that are left, not a point in time.
TIME_LEFT = "X-Fulmarhold-Request-Deadline"
# The incarnation that alone may serve the request.
TARGET = "X-Fulmarhold-Target-Instance"
# Proves which upstream answered which request.
SIGNATURE = "X-Fulmarhold-Server-Stamp"
NOT_RUN = "X-Fulmarhold-Not-Executed"
UPSTREAM_ID = "X-Fulmarhold-Instance-Id"
# The signatures of the parts that are in.
PART_SIGNATURES = "X-Fulmarhold-Part-Stamps"
# How many shards are left out, not which.
PARTS_MISSING = "X-Fulmarhold-Missing-Parts"

# What concerns one connection only, and what this side writes itself.
CONNECTION_HEADERS = frozenset(
    ("connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
     "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect")
)  # fmt: skip
_REPLACED = frozenset((TIME_LEFT.lower(), TARGET.lower()))
MISDIRECTED = 421
# Without a deadline of the caller the timeout of the route alone holds.
UNBOUNDED: Milliseconds = 600_000.0


class PlatformCodec:
    """Requests to upstreams and their responses."""

    def prepare(self, request: ForwardRequest) -> tuple[bytes, bytes]:
        """Return what goes before and after the headers that differ between upstreams."""
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{key}: {value}" for key, value in request.headers]
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(request.body)}")
        return "\r\n".join(lines).encode("latin-1"), b"\r\n\r\n" + request.body

    def encode(self, prepared: tuple[bytes, bytes], upstream: str, left: Milliseconds) -> bytes:
        """Return the bytes for one upstream."""
        head, tail = prepared
        own = f"\r\n{TIME_LEFT}: {max(1, int(left))}\r\n{TARGET}: {upstream}"
        return head + own.encode("latin-1") + tail

    def read(self, response: UpstreamResponse, request_id: str) -> Reply:
        """Return what a response to the request `request_id` means."""
        signature = response.header(SIGNATURE.lower())
        verdict = _verdict(response, request_id, signature)
        headers = _end_to_end(response.headers)
        return Reply(verdict, response.status, headers, response.body, signature)


def read_request(raw: RawRequest) -> ForwardRequest:
    """Return a caller's request in our own terms."""
    left = raw.header(TIME_LEFT.lower())
    allowed = float(left) if left.isdecimal() else UNBOUNDED
    headers = tuple(
        (key, value) for key, value in _end_to_end(raw.headers) if key.lower() not in _REPLACED
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
    )


def write_outcome(outcome: Outcome) -> RawResponse:
    """Return the response that tells a caller the outcome."""
    match outcome:
        case Relayed(reply):
            return RawResponse(reply.status, reply.headers, reply.body)
        case Gathered(signatures, missing, records):
            parts = ((PART_SIGNATURES, ", ".join(signatures)), (PARTS_MISSING, str(missing)))
            return RawResponse(200, parts, records)
        case Refused(reason, retry_after):
            pause = (("Retry-After", f"{retry_after / SECOND:.3f}"),)
            return RawResponse(503, pause, reason.value.encode())
        case NoRoute():
            return RawResponse(404, body=b"no route")
        case Failed(reason, detail):
            status = 504 if reason is FailedReason.DEADLINE else 502
            return RawResponse(status, body=f"{reason.value} {detail}".strip().encode())


def _verdict(response: UpstreamResponse, request_id: str, signature: str) -> Verdict:
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


def _end_to_end(headers: Headers) -> Headers:
    named = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for token in value.split(",")
    }
    dropped = CONNECTION_HEADERS | named
    return tuple((key, value) for key, value in headers if key.lower() not in dropped)
