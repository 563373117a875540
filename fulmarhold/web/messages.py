"""Requests of callers as received, the responses to them, and why a request is refused."""

from __future__ import annotations

from dataclasses import dataclass

from fulmarhold.clock import Milliseconds

REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout",
    413: "Content Too Large", 421: "Misdirected Request", 429: "Too Many Requests",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip


@dataclass(frozen=True)
class RawRequest:
    """A request as received; `target` is the undecoded path with the query.

    `is_first` is set for the first request on a connection. `round_trip` is the network round-trip
    time to the caller, or zero if unknown. `owners` names the caller and its account, for their
    shares of the memory.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: Milliseconds
    is_first: bool = False
    round_trip: Milliseconds = 0.0
    owners: tuple[str, ...] = ()

    def header(self, name: str) -> str:
        """Return the first value of a header by its lower-case name, or an empty string."""
        return next((value for key, value in self.headers if key.lower() == name), "")


@dataclass(frozen=True)
class RawResponse:
    """A response to send; the server adds the length and connection headers."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class BadRequest(Exception):
    """The request violates the protocol or a limit; `status` is the HTTP status to answer with."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class NoMemory(BadRequest):
    """There is no room for the request now; it was not run, and may be sent again."""

    def __init__(self, reason: str = "no_memory") -> None:
        super().__init__(503, reason)


def encode_head(response: RawResponse, connection: str) -> bytes:
    """Return the head of a response; `connection` is the line on what happens to the connection."""
    reason = REASONS.get(response.status, "Status")
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines += [f"{key}: {value}" for key, value in response.headers]
    lines += [f"Content-Length: {len(response.body)}", connection]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
