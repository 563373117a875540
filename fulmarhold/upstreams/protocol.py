"""The HTTP interface of upstreams: header names, request encoding and response parsing."""

from __future__ import annotations

import re
from dataclasses import dataclass

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import MalformedInput

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
# Lower ones are no statuses of the protocol; those from here to `STATUS_OK` are interim.
LEAST_STATUS = 100
# All bytes received for one response, framing included.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
# Bytes received until the head of a response is complete, interim responses before it included.
MAX_HEAD_BYTES = 64 * 1024
# Each field takes far more memory than its bytes.
MAX_HEADER_FIELDS = 256
# Bytes of a response beside its body. Short chunks cost processor time out of proportion.
MAX_FRAMING_BYTES = 128 * 1024
# The size of the blocks in which a body is collected.
BLOCK_BYTES = 64 * 1024
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")
LENGTH_HEADERS = ("content-length", "transfer-encoding")


@dataclass(frozen=True)
class Part:
    """Identifies one shard's part of a request; the upstream echoes it in its response."""

    request_id: str
    shard: int
    version: int
    layout: str

    def __str__(self) -> str:
        return f"{self.request_id};{self.shard};{self.version};{self.layout}"


@dataclass(frozen=True)
class UpstreamResponse:
    """A complete response, with the header names and their order as received."""

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
        """The idle timeout that the upstream announces in its Keep-Alive header, if any."""
        match = KEEP_ALIVE_TIMEOUT.search(self.header("keep-alive"))
        return float(match[1]) * SECOND if match else None

    def header(self, name: str) -> str:
        """Return the last value of a header by its lower-case name, or an empty string."""
        values = [value for field, value in self.headers if field.lower() == name]
        return values[-1] if values else ""


class RequestTemplate:
    """The bytes that all sub-requests of a scatter share, encoded once."""

    def __init__(self, service: str, request_type: str, body: bytes, key: str = "") -> None:
        key_line = f"{KEY_HEADER}: {key}\r\n" if key else ""
        self._head = f"POST /run/{service}/{request_type} HTTP/1.1\r\nHost: ".encode()
        self._tail = f"\r\nContent-Length: {len(body)}\r\n{key_line}\r\n".encode() + body

    def encode(self, address: str, part: str, deadline_left: float) -> bytes:
        """Return the request bytes for one upstream; `deadline_left` is in milliseconds."""
        middle = f"{address}\r\n{PART_HEADER}: {part}\r\n{DEADLINE_HEADER}: {deadline_left:.1f}"
        return self._head + middle.encode() + self._tail


def encode_cancel(address: str, part: str) -> bytes:
    """Return the bytes of a request that cancels the sub-request `part`."""
    return (
        f"POST /cancel HTTP/1.1\r\nHost: {address}\r\n{PART_HEADER}: {part}\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


class ResponseReader:
    """Reads the responses of one connection, one at a time."""

    def __init__(self) -> None:
        # Made with the first bytes: connections that are refused, or wait unused, need none.
        self._parser: HttpResponseParser | None = None
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._has_headers = False
        self._body: list[bytearray] = []
        self._received = 0
        self._body_bytes = 0
        self._is_complete = False
        self._keeps_alive = False
        # Set when a second response follows one request, or the end of the stream ends a response:
        # the connection can't be reused.
        self._must_close = False

    @property
    def is_complete(self) -> bool:
        return self._is_complete

    @property
    def is_too_large(self) -> bool:
        """Whether the response or its head has, or announces, more bytes than it may have."""
        if len(self._headers) > MAX_HEADER_FIELDS:
            return True
        if not self._has_headers:
            return self._received > MAX_HEAD_BYTES
        return (
            self._received > MAX_RESPONSE_BYTES
            or self._received - self._body_bytes > MAX_FRAMING_BYTES
            or (not self._is_complete and self._announced_length > MAX_RESPONSE_BYTES)
        )

    @property
    def _announced_length(self) -> int:
        values = (value for name, value in self._headers if name.lower() == "content-length")
        return max((int(value) for value in values if value.isdecimal()), default=0)

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the connection; raises `MalformedInput` if they are no HTTP."""
        self._received += len(data)
        if self._parser is None:
            self._parser = HttpResponseParser(self)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            if not self._is_complete:
                raise MalformedInput(str(error), step="reading a response") from error
            # What follows a complete response belongs to no request.
            self._must_close = True

    def take(self) -> UpstreamResponse:
        """Return the complete response and reset for the next one."""
        response = UpstreamResponse(
            self._status,
            tuple(self._headers),
            b"".join(self._body),
            self._keeps_alive and not self._must_close,
        )
        self._is_complete = False
        self._has_headers = False
        self._body = []
        self._received = self._body_bytes = 0
        return response

    def end_of_stream(self) -> bool:
        """Handle the end of the stream; returns whether a response is complete.

        A response without a length extends to the end of its connection.
        """
        has_length = any(name.lower() in LENGTH_HEADERS for name, _ in self._headers)
        if self._has_headers and not self._is_complete and not has_length:
            self._is_complete = self._must_close = True
        return self._is_complete

    def close(self) -> None:
        """Free the parser, which refers to this reader, when the connection has closed."""
        self._parser = None

    # Callbacks of HttpResponseParser.

    def on_message_begin(self) -> None:
        if self._is_complete:
            self._must_close = True
            return
        self._headers = []
        self._has_headers = False
        self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        # Fields after the head are a trailer, which must not pass for fields of the head.
        if not self._must_close and not self._has_headers:
            self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        if not self._must_close and self._parser is not None:
            self._status = self._parser.get_status_code()
            if self._status < LEAST_STATUS:
                raise MalformedInput(f"status {self._status:03}", step="reading a response")
        self._has_headers = True

    def on_body(self, data: bytes) -> None:
        if not self._must_close:
            self._body_bytes += len(data)
            if self._body:
                self._append_to_body(data)
            else:
                self._body.append(bytearray(data))

    def on_message_complete(self) -> None:
        is_interim = self._status < STATUS_OK
        if not self._is_complete and self._parser is not None:
            # The parser forgets it with the end of the message.
            self._keeps_alive = bool(self._parser.should_keep_alive())
        self._is_complete = self._is_complete or not is_interim
        self._has_headers = self._has_headers and not is_interim

    def _append_to_body(self, data: bytes) -> None:
        # Short pieces share a block, since each would take more memory than its bytes. One block
        # for the whole body would be moved as it grows, which leaves gaps in the heap.
        if len(self._body[-1]) + len(data) <= BLOCK_BYTES:
            self._body[-1] += data
        else:
            self._body.append(bytearray(data))
