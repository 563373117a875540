"""The HTTP/1.1 server for callers, which keeps path, headers and body of requests as sent.

Web frameworks decode the path and merge headers, which would change the forwarded request. This
server preserves both, detects at once that a caller disconnects, and enforces the limits in force.
"""

from __future__ import annotations

import os
from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

import gevent
import gevent.socket
import httptools
from gevent.server import StreamServer

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.limits.memory import Holder
from fulmarhold.limits.retry_after import retry_delay_after_refusal
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.server import listen
from fulmarhold.wire.sockets import has_input, prepare_connection, round_trip

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fulmarhold.clock import Clock
    from fulmarhold.limits.memory import FixedHolding, MemoryBudget
    from fulmarhold.observe.counters import Counters
    from fulmarhold.routes.configuration import CallerLimits

log = get_logger("front")

READ_BYTES = 65_536
# Pipelined bytes that are buffered while a caller waits for a response.
MAX_READ_AHEAD_BYTES = 64 * 1024
READABLE = 1
# Time after which the connection is dropped if the caller does not read its response.
SEND_TIMEOUT: Milliseconds = 5_000.0
# How long a closing connection is kept open for reading. Closing it with unread bytes would send a
# reset, which could reach the caller before it has read the response.
LINGER_TIMEOUT: Milliseconds = 300.0
LISTEN_BACKLOG = 4_096
# Before the port is closed, connections that wait are accepted for this long at most: callers may
# open new ones as fast as they are accepted.
LAST_ACCEPT_TIME: Milliseconds = 100.0
# A body up to this size is copied, to send it together with the head.
MAX_COPIED_BODY_BYTES = 16 * 1024
# Lets the event loop look for connections.
ACCEPT_PAUSE: Milliseconds = 1.0

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

    def __init__(self) -> None:
        super().__init__(503, "no_memory")


DisconnectCallback = "Callable[[Callable[[], None]], None]"


class FrontServer:
    """Serves callers.

    `handle` gets the request and a function that registers a callback for the disconnection of the
    caller.
    """

    def __init__(
        self,
        endpoint: str,
        handle: Callable[[RawRequest, Any], RawResponse],
        limits: Callable[[], CallerLimits],
        clock: Clock,
        counters: Counters,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._random = Random()
        self.memory = memory
        self.handle = handle
        self.limits = limits
        self.clock = clock
        self.counters = counters
        self.is_closing = False
        self._in_flight = 0
        self._connections: set[_Connection] = set()
        self._server: StreamServer | None = None

    @property
    def connections(self) -> int:
        return len(self._connections)

    @property
    def in_flight(self) -> int:
        """The number of requests that were read and whose callers don't have the whole answer."""
        return self._in_flight

    @contextmanager
    def answering(self) -> Iterator[None]:
        """Count a request as in flight until its answer has left."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    def refuse(self, error: BadRequest) -> RawResponse:
        """Return the response to a request that can't be read, or for which there is no room."""
        if not isinstance(error, NoMemory):
            self.counters.add("caller_requests_malformed", reason=error.reason)
            return RawResponse(error.status, body=error.reason.encode())
        delay = retry_delay_after_refusal(self._random)
        headers = (("Retry-After", f"{delay / SECOND:.3f}"),)
        return RawResponse(error.status, headers, error.reason.encode())

    def start(self) -> None:
        """Start listening; raises `FulmarholdError` if the port can't be bound."""
        address, _, port = self._endpoint.rpartition(":")
        listener = listen(address, int(port), LISTEN_BACKLOG)
        self._server = StreamServer(listener, self._serve)
        self._server.start()

    def stop_accepting(self) -> None:
        """Accept the connections that callers have opened, and no further ones.

        Closing the port would reset those that wait to be accepted, with the requests on them.
        """
        server, self._server = self._server, None
        if server is None:
            return
        until = self.clock.now() + LAST_ACCEPT_TIME
        while self.clock.now() < until and has_input(server.socket.fileno()):
            gevent.sleep(ACCEPT_PAUSE / SECOND)
        server.stop_accepting()
        server.close()

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def _serve(self, connection: Any, peer: tuple[str, int]) -> None:
        served = _Connection(self, connection, peer[0])
        self._connections.add(served)
        try:
            served.run()
        except OSError as error:
            self.counters.add("caller_connections_lost", reason=type(error).__name__)
        finally:
            self._connections.discard(served)
            connection.close()
            served.release()


@dataclass
class _PartialRequest:
    """A request that is still being read."""

    started_at: Milliseconds
    target: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0
    has_head: bool = False


class _Connection:
    """A caller's connection; the parser callbacks fill a queue of complete requests."""

    def __init__(self, server: FrontServer, connection: Any, caller: str) -> None:
        self._server = server
        self._owners: tuple[str, ...] = (f"caller {caller}",)
        self._held: FixedHolding | None = None
        self._socket = connection
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[tuple[RawRequest, bool]] = deque()
        # Why what comes after the requests that were read can't be.
        self._refusal: BadRequest | None = None
        self._partial: _PartialRequest | None = None
        self._head_bytes = 0
        self._read_ahead = b""
        self._limits = server.limits()
        self._expects_continue = False
        self._is_waiting = False
        self._is_first = True
        self._on_disconnect: Callable[[], None] | None = None
        self._is_disconnected = False
        prepare_connection(connection)
        self._round_trip = self._measure_round_trip()

    def run(self) -> None:
        """Serve requests one after another until either side closes the connection."""
        while True:
            try:
                request = self._next_request()
            except BadRequest as error:
                with self._server.answering():
                    self._send(self._server.refuse(error), "", close=True)
                    self._linger()
                return
            if request is None:
                return
            with self._server.answering():
                if not self._answer(*request):
                    return
            if not self._has_begun_another:
                self.release()

    def release(self) -> None:
        """Give back the memory that requests of this connection were counted with."""
        held, self._held = self._held, None
        if held is not None:
            held.release()

    def close_if_idle(self) -> None:
        """Close the connection if it is waiting for a request, and none has arrived."""
        if not self._is_waiting or self._partial is not None or self._has_input:
            return
        try:
            self._socket.shutdown(gevent.socket.SHUT_RDWR)
        except OSError as error:
            # The caller has reset it; its own greenlet removes it.
            self._server.counters.add("caller_connections_lost", reason=type(error).__name__)

    @property
    def _has_input(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        descriptor = self._socket.fileno()
        return descriptor >= 0 and has_input(descriptor)

    @property
    def _has_begun_another(self) -> bool:
        """Whether a part of the next request has been read."""
        return bool(self._requests or self._refusal or self._read_ahead or self._partial)

    @property
    def _has_further_request(self) -> bool:
        """Whether the caller has sent more behind the request that is being answered."""
        return bool(self._requests or self._refusal or self._read_ahead or self._has_input)

    def _answer(self, request: RawRequest, keep_open: bool) -> bool:
        """Handle a request and send the response; returns whether the connection stays open."""
        response = self._handle(request)
        if self._is_disconnected:
            return False
        # Nothing can be answered behind a response that closes the connection.
        close = not keep_open or (self._server.is_closing and not self._has_further_request)
        memory = self._server.memory
        answer = memory.open_fixed(Holder.ANSWER, request.owners) if memory else None
        try:
            if answer is not None:
                answer.grow(len(response.body))
            self._send(response, request.method, close=close)
        finally:
            if answer is not None:
                answer.release()
        if close:
            self._linger()
        return not close

    def _hold(self, size: int) -> None:
        """Account for bytes of a request; raises `NoMemory` if there is no room for them."""
        if not self._try_hold(size):
            raise NoMemory

    def _try_hold(self, size: int) -> bool:
        memory = self._server.memory
        if memory is None:
            return True
        if self._held is None:
            self._held = memory.open_fixed(Holder.REQUEST, self._owners)
        return self._held.try_grow(size)

    def _measure_round_trip(self) -> Milliseconds:
        try:
            return round_trip(self._socket)
        except OSError as error:
            self._server.counters.add("round_trips_unknown", reason=type(error).__name__)
            return 0.0

    # Reading

    def _next_request(self) -> tuple[RawRequest, bool] | None:
        self._limits = self._server.limits()
        while not self._requests:
            if self._refusal is not None:
                raise self._refusal
            data, self._read_ahead = self._read_ahead, b""
            if not data:
                data = self._receive()
                if not data:
                    return None
            try:
                self._feed(data)
            except BadRequest as error:
                # The requests before it are answered first.
                self._refusal = error
                continue
            if self._expects_continue and not self._requests:
                self._expects_continue = False
                self._socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return self._requests.popleft()

    def _receive(self) -> bytes:
        limits, partial = self._limits, self._partial
        if partial is None or partial.has_head:
            timeout = limits.idle_timeout
        else:
            age = self._server.clock.now() - partial.started_at
            timeout = max(1.0, limits.header_timeout - age)
        self._is_waiting = True
        try:
            self._socket.settimeout(timeout / SECOND)
            data: bytes = self._socket.recv(READ_BYTES)
            return data
        except TimeoutError:
            if partial is None:
                return b""
            raise BadRequest(408, "the request was not sent in time") from None
        finally:
            self._is_waiting = False

    def _feed(self, data: bytes) -> None:
        if self._partial is None and not self._requests:
            self._partial = _PartialRequest(self._server.clock.now())
        if self._partial is not None and not self._partial.has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequest(400, "upgrades are not served") from None
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, BadRequest):
                raise error.__context__ from None
            raise BadRequest(400, "malformed request") from None
        except httptools.HttpParserError:
            raise BadRequest(400, "malformed request") from None
        partial = self._partial
        if partial is not None and not partial.has_head:
            self._check_head_size()
            self._hold(len(data))

    def _check_head_size(self) -> None:
        if self._head_bytes > self._limits.header_bytes:
            raise BadRequest(431, "the headers are too large")

    # Parser callbacks

    def on_message_begin(self) -> None:
        if self._partial is None:
            self._partial = _PartialRequest(self._server.clock.now())

    def on_url(self, url: bytes) -> None:
        if self._partial is not None:
            self._partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._partial is not None and not self._partial.has_head:
            self._partial.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        partial = self._partial
        if partial is None:
            return
        partial.has_head = True
        size = len(partial.target) + sum(
            len(key) + len(value) + 4 for key, value in partial.headers
        )
        self._head_bytes = 0
        if size > self._limits.header_bytes:
            raise BadRequest(431, "the headers are too large")
        fields = {key.lower(): value for key, value in partial.headers}
        if "content-length" in fields and "transfer-encoding" in fields:
            raise BadRequest(400, "both a length and a transfer encoding")
        length = fields.get("content-length", "0")
        if length.isdecimal() and int(length) > self._limits.body_bytes:
            raise BadRequest(413, "the body is too large")
        self._owners = (self._owners[0], f"account {fields.get('host', '')}")
        memory, size = self._server.memory, int(length) if length.isdecimal() else 0
        if memory is not None and size and not memory.fits(self._owners, size):
            raise NoMemory
        self._expects_continue = fields.get("expect", "").lower() == "100-continue"

    def on_body(self, data: bytes) -> None:
        partial = self._partial
        if partial is None:
            return
        partial.body.append(data)
        partial.body_bytes += len(data)
        if partial.body_bytes > self._limits.body_bytes:
            raise BadRequest(413, "the body is too large")
        self._hold(len(data))

    def on_message_complete(self) -> None:
        partial, self._partial = self._partial, None
        if partial is None:
            return
        request = RawRequest(
            self._parser.get_method().decode("latin-1"),
            partial.target.decode("latin-1"),
            tuple(partial.headers),
            b"".join(partial.body),
            partial.started_at,
            self._is_first,
            self._round_trip,
            self._owners,
        )
        self._is_first = False
        self._requests.append((request, self._parser.should_keep_alive()))

    # Responding

    def _handle(self, request: RawRequest) -> RawResponse:
        watcher = gevent.get_hub().loop.io(self._socket.fileno(), READABLE)
        self._on_disconnect = None
        watcher.start(self._on_readable, watcher)
        try:
            return self._server.handle(request, self._set_on_disconnect)
        except Exception as error:
            log.exception(
                "failed to handle request {} {}: {}", request.method, request.target, error
            )
            return RawResponse(502, body=b"internal error")
        finally:
            watcher.stop()
            watcher.close()
            # It refers to the operation, and so to the response, which an idle connection must not.
            self._on_disconnect = None

    def _set_on_disconnect(self, callback: Callable[[], None]) -> None:
        self._on_disconnect = callback

    def _on_readable(self, watcher: Any) -> None:
        """Detect that the caller has disconnected, and buffer pipelined bytes."""
        try:
            data = os.read(self._socket.fileno(), READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self._read_ahead += data
        is_full = len(self._read_ahead) >= MAX_READ_AHEAD_BYTES
        if data and not is_full and self._try_hold(len(data)):
            return
        watcher.stop()
        if not data:
            self._is_disconnected = True
            self._server.counters.add("callers_gone")
            if self._on_disconnect is not None:
                self._on_disconnect()

    def _send(self, response: RawResponse, method: str, *, close: bool) -> None:
        reason = REASONS.get(response.status, "Status")
        lines = [f"HTTP/1.1 {response.status} {reason}"]
        lines += [f"{key}: {value}" for key, value in response.headers]
        lines.append(f"Content-Length: {len(response.body)}")
        if close:
            lines.append("Connection: close")
        else:
            idle_seconds = int(self._limits.idle_timeout / SECOND)
            lines.append(f"Keep-Alive: timeout={idle_seconds}")
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self._socket.settimeout(SEND_TIMEOUT / SECOND)
        if method == "HEAD":
            self._socket.sendall(head)
        elif len(response.body) <= MAX_COPIED_BODY_BYTES:
            self._socket.sendall(head + response.body)
        else:
            self._socket.sendall(head)
            self._socket.sendall(response.body)

    def _linger(self) -> None:
        """Shut down the sending side and drain input, so that no reset discards the response."""
        try:
            self._socket.shutdown(gevent.socket.SHUT_WR)
            self._socket.settimeout(LINGER_TIMEOUT / SECOND)
            while self._socket.recv(READ_BYTES):
                pass
        except (OSError, TimeoutError):
            self._server.counters.add("caller_connections_lost", reason="while_closing")
