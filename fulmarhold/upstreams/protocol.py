"""The HTTP interface of upstreams: header names, encoding of requests, reading of responses."""

from __future__ import annotations

import re
from dataclasses import dataclass

from geventhttpclient.response import HTTPResponseParser

from fulmarhold.clock import SECOND, Milliseconds

# Header names are compared in lower case.
PART_HEADER = "fulmarhold-part"
OUTCOME_HEADER = "fulmarhold-outcome"
STATE_HEADER = "fulmarhold-state"
DEADLINE_HEADER = "Fulmarhold-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"

OUTCOME_NOT_RUN = "not_run"
OUTCOME_SNAPSHOT_GONE = "snapshot_gone"
OUTCOME_CANCELLED = "cancelled"
STATE_DRAINING = "draining"

STATUS_OK = 200
LARGEST_RESPONSE_BYTES = 4 * 1024 * 1024
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")
LENGTH_HEADERS = ("content-length", "transfer-encoding")


@dataclass(frozen=True)
class Part:
    """Names one shard's part of one request; the upstream echoes it in its response."""

    request_id: str
    shard: int
    version: int
    layout: str

    def __str__(self) -> str:
        return f"{self.request_id};{self.shard};{self.version};{self.layout}"


@dataclass(frozen=True)
class UpstreamResponse:
    """A whole response; header names are as they came, in the order in which they came."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    keep_open: bool

    @property
    def part(self) -> str:
        return self.header(PART_HEADER)

    @property
    def outcome(self) -> str:
        return self.header(OUTCOME_HEADER)

    @property
    def state(self) -> str:
        return self.header(STATE_HEADER)

    @property
    def keep_alive(self) -> Milliseconds | None:
        """For how long the upstream says it keeps the connection open while idle."""
        match = KEEP_ALIVE_TIMEOUT.search(self.header("keep-alive"))
        return float(match[1]) * SECOND if match else None

    def header(self, name: str) -> str:
        """Return the last value of a header by its lower-case name, or an empty string."""
        values = [value for field, value in self.headers if field.lower() == name]
        return values[-1] if values else ""


class RequestTemplate:
    """What is the same in every sub-request of a scatter, encoded once."""

    def __init__(self, service: str, request_type: str, body: bytes, key: str = "") -> None:
        key_line = f"{KEY_HEADER}: {key}\r\n" if key else ""
        self._head = f"POST /run/{service}/{request_type} HTTP/1.1\r\nHost: ".encode()
        self._tail = f"\r\nContent-Length: {len(body)}\r\n{key_line}\r\n".encode() + body

    def encode(self, address: str, part: str, deadline_left: float) -> bytes:
        """Return the bytes of the request for one upstream; `deadline_left` in milliseconds."""
        middle = f"{address}\r\n{PART_HEADER}: {part}\r\n{DEADLINE_HEADER}: {deadline_left:.1f}"
        return self._head + middle.encode() + self._tail


def encode_cancel(address: str, part: str) -> bytes:
    """Return the bytes of a request that cancels another one."""
    return (
        f"POST /cancel HTTP/1.1\r\nHost: {address}\r\n{PART_HEADER}: {part}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


class ResponseReader(HTTPResponseParser):
    """Reads the responses of one connection, one at a time, with the library's parser."""

    def __init__(self) -> None:
        super().__init__()
        self._headers: list[tuple[str, str]] = []
        self._has_head = False
        self._field = ""
        self._value = ""
        self._in_value = False
        self._body: list[bytes] = []
        self._size = 0
        self._complete = False
        # More than one response came for one request: the connection can't be trusted.
        self._overrun = False

    @property
    def is_complete(self) -> bool:
        return self._complete

    @property
    def is_too_large(self) -> bool:
        return self._size > LARGEST_RESPONSE_BYTES

    def take(self) -> UpstreamResponse:
        """Return the complete response and make ready for the next one."""
        response = UpstreamResponse(
            self.get_code(),
            tuple(self._headers),
            b"".join(self._body),
            self.should_keep_alive() and not self._overrun,
        )
        self._complete = False
        self._has_head = False
        return response

    def end_of_stream(self) -> bool:
        """Take the end of the connection; returns whether it completes a response.

        A response without a length ends with its connection.
        """
        has_length = any(name.lower() in LENGTH_HEADERS for name, _ in self._headers)
        if self._has_head and not self._complete and not has_length:
            self._complete = self._overrun = True
        return self._complete

    # The hooks that the library's parser calls.

    def _on_message_begin(self) -> None:
        if self._complete:
            self._overrun = True
            return
        self._headers = []
        self._has_head = False
        self._field = self._value = ""
        self._in_value = False
        self._body = []
        self._size = 0

    def _on_status(self, _: str) -> None:
        pass

    def _on_header_field(self, text: str) -> None:
        if self._in_value:
            self._flush_header()
        self._field += text

    def _on_header_value(self, text: str) -> None:
        self._in_value = True
        self._value += text

    def _on_headers_complete(self) -> bool:
        self._flush_header()
        self._has_head = True
        return False

    def _on_body(self, data: bytes) -> None:
        if not self._overrun:
            self._body.append(bytes(data))
            self._size += len(data)

    def _on_message_complete(self) -> None:
        self._complete = True

    def _flush_header(self) -> None:
        if self._field and not self._overrun:
            self._headers.append((self._field, self._value))
        self._field = self._value = ""
        self._in_value = False
