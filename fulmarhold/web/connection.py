"""One caller's connection: waits for requests, has them handled, and sends the responses."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import gevent
import gevent.socket

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.limits.connections import GaveWay, Phase
from fulmarhold.limits.memory import Holder
from fulmarhold.observe.logs import get_logger
from fulmarhold.web.messages import BadRequest, NoMemory, RawRequest, RawResponse, encode_head
from fulmarhold.web.reader import ReadRequest, RequestReader
from fulmarhold.wire.sockets import (
    available_bytes,
    can_go_on,
    has_input,
    linger,
    prepare_connection,
    round_trip,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.web.front import FrontServer

log = get_logger("front")

READ_BYTES = 65_536
# Pipelined bytes that are buffered while a caller waits for a response.
MAX_READ_AHEAD_BYTES = 64 * 1024
READABLE = 1
# Time after which the connection is dropped if the caller reads nothing of its response.
SEND_TIMEOUT: Milliseconds = 5_000.0
# How much of a response is sent at once; each piece has to be taken within `SEND_TIMEOUT`.
SEND_BYTES = 256 * 1024
# How long a closing connection is kept open for reading. Closing it with unread bytes would send a
# reset, which could reach the caller before it has read the response.
LINGER_TIMEOUT: Milliseconds = 300.0
# The same for a caller that goes on sending: it ends with this, or with the reading of a whole
# request of the largest default size at the rate of a slow link.
MAX_LINGER: Milliseconds = 3_000.0
# A body up to this size is copied, to send it together with the head.
MAX_COPIED_BODY_BYTES = 16 * 1024


class Connection:
    """A caller's connection."""

    def __init__(self, server: FrontServer, connection: Any, caller: str) -> None:
        self._server = server
        self._socket = connection
        self._limits = server.limits()
        self._is_waiting = False
        self._gave_way: GaveWay | None = None
        # Whether it gave way while a request was unfinished, which has not run.
        self._is_refused = False
        self._on_disconnect: Callable[[], None] | None = None
        self._is_disconnected = False
        prepare_connection(connection)
        self._reader = RequestReader(
            caller, server.memory, self._limits, self._measure_round_trip()
        )
        self._tracked = server.budget.open(caller, self._give_way)

    def run(self) -> None:
        """Serve requests one after another until either side closes the connection."""
        while True:
            try:
                request = self._next_request()
            except BadRequest as error:
                # What was read of it is not needed while the refusal is sent.
                self._reader.release()
                with self._server.answering():
                    self._send(self._server.refuse(error), "", close=True)
                    self._linger()
                return
            if request is None:
                return
            try:
                with self._server.answering():
                    if not self._answer(request.request, request.keep_open):
                        return
            finally:
                request.release()
                # An idle connection must not keep its last request.
                del request
            if self._reader.has_begun:
                # Otherwise the requests that one caller has sent ahead would keep others waiting.
                gevent.sleep(0)

    def release(self) -> None:
        """Give back the memory of what was read, and the place of this connection."""
        self._reader.release()
        self._server.budget.close(self._tracked)

    def close_if_idle(self) -> None:
        """Close the connection if it is waiting for a request, and none has arrived."""
        if not self._is_waiting or self._reader.partial is not None or self._has_input:
            return
        self._shut_down(gevent.socket.SHUT_RDWR)

    def _give_way(self, why: GaveWay) -> bool:
        """End the connection in favour of others; an unfinished request is refused as not run."""
        if can_go_on(self._socket.fileno(), sends=not self._is_waiting):
            return False
        self._gave_way = why
        self._is_refused = self._is_waiting and self._reader.partial is not None
        self._reader.release()
        self._shut_down(gevent.socket.SHUT_RD if self._is_refused else gevent.socket.SHUT_RDWR)
        return True

    def _shut_down(self, how: int) -> None:
        try:
            self._socket.shutdown(how)
        except OSError as error:
            # The caller has reset it; its own greenlet removes it.
            self._server.counters.add("caller_connections_lost", reason=type(error).__name__)

    @property
    def _has_input(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        descriptor = self._socket.fileno()
        return descriptor >= 0 and has_input(descriptor)

    @property
    def _has_further_request(self) -> bool:
        """Whether the caller has sent more behind the request that is being answered."""
        reader = self._reader
        is_complete = bool(reader.has_requests or reader.refusal or reader.has_unread)
        return is_complete or self._has_input

    def _answer(self, request: RawRequest, keep_open: bool) -> bool:
        """Handle a request and send the response; returns whether the connection stays open."""
        self._tracked.enter(Phase.RUNNING, self._server.clock.now())
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

    def _measure_round_trip(self) -> Milliseconds:
        try:
            return round_trip(self._socket)
        except OSError as error:
            self._server.counters.add("round_trips_unknown", reason=type(error).__name__)
            return 0.0

    # Reading

    def _next_request(self) -> ReadRequest | None:
        reader = self._reader
        self._limits = reader.limits = self._server.limits()
        while not reader.has_requests:
            if reader.refusal is not None:
                raise reader.refusal
            if not reader.has_unread:
                self._track_reading()
                # Not kept in a variable, which would hold it while this waits for more.
                reader.add(self._receive())
                if self._is_refused:
                    raise NoMemory
                if not reader.has_unread:
                    return None
            reader.parse(self._server.clock.now())
            if reader.expects_continue and not reader.has_requests:
                reader.expects_continue = False
                self._socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return reader.take()

    def _track_reading(self) -> None:
        """Note for others whether a request is unfinished, and what it holds."""
        partial, tracked = self._reader.partial, self._tracked
        if partial is None:
            tracked.enter(Phase.IDLE, self._server.clock.now())
            return
        tracked.held, tracked.owners = partial.held, partial.owners
        tracked.enter(Phase.READING, self._server.clock.now(), partial.progress)

    def _receive(self) -> bytes:
        """Return bytes that have arrived, or nothing if there are none in time.

        Raises `BadRequest` if an unfinished request takes too long.
        """
        timeout = self._time_left()
        self._is_waiting = True
        try:
            self._socket.settimeout(timeout / SECOND)
            data: bytes = self._socket.recv(READ_BYTES)
            return data
        except TimeoutError:
            if self._reader.partial is None:
                return b""
            raise BadRequest(408, "the request was not sent in time") from None
        except OSError:
            # Shutting it down cancels the wait.
            if self._gave_way is None:
                raise
            return b""
        finally:
            self._is_waiting = False
            # It must not give way to its own bytes while they are parsed.
            self._tracked.enter(Phase.RUNNING, self._server.clock.now())

    def _time_left(self) -> Milliseconds:
        """Return how long to wait for bytes; what has arrived already is read in any case."""
        limits, partial = self._limits, self._reader.partial
        if partial is None:
            return limits.idle_timeout
        now = self._server.clock.now()
        if not partial.has_head:
            left = limits.header_timeout - (now - partial.started_at)
            if left <= 0 and not self._has_input:
                raise BadRequest(408, "the request was not sent in time")
            return max(1.0, left)
        if partial.progress.is_too_slow(now) and not self._has_input:
            raise BadRequest(408, "the request was sent too slowly")
        return limits.idle_timeout

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
        descriptor, reader = self._socket.fileno(), self._reader
        size = min(available_bytes(descriptor), MAX_READ_AHEAD_BYTES - reader.unread_bytes)
        if size and not reader.reserve(size):
            watcher.stop()
            return
        try:
            data = os.read(descriptor, max(1, size))
        except BlockingIOError:
            return
        except OSError:
            data = b""
        reader.add(data)
        if data and reader.unread_bytes < MAX_READ_AHEAD_BYTES:
            return
        watcher.stop()
        if not data:
            self._is_disconnected = True
            self._server.counters.add("callers_gone")
            if self._on_disconnect is not None:
                self._on_disconnect()

    def _send(self, response: RawResponse, method: str, *, close: bool) -> None:
        idle_seconds = int(self._limits.idle_timeout / SECOND)
        kept = "Connection: close" if close else f"Keep-Alive: timeout={idle_seconds}"
        head = encode_head(response, kept)
        if method == "HEAD":
            self._send_piece(head)
        elif len(response.body) <= MAX_COPIED_BODY_BYTES:
            self._send_piece(head + response.body)
        else:
            self._send_piece(head)
            body = memoryview(response.body)
            for start in range(0, len(body), SEND_BYTES):
                self._send_piece(body[start : start + SEND_BYTES])

    def _send_piece(self, piece: bytes | memoryview) -> None:
        self._tracked.enter(Phase.SENDING, self._server.clock.now())
        self._socket.settimeout(SEND_TIMEOUT / SECOND)
        self._socket.sendall(piece)

    def _linger(self) -> None:
        if self._gave_way is not None:
            return
        try:
            linger(self._socket, self._server.clock, LINGER_TIMEOUT, MAX_LINGER)
        except OSError:
            self._server.counters.add("caller_connections_lost", reason="while_closing")
