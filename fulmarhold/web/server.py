"""The WSGI server of the HTTP interfaces; its stop answers every request that has arrived."""

from __future__ import annotations

import io
import socket
from random import Random
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.limits.retry_after import retry_delay_after_refusal
from fulmarhold.observe.logs import get_logger
from fulmarhold.web.messages import BadRequest, NoMemory, RawResponse, encode_head
from fulmarhold.web.metered import BUFFER_BYTES, HeadLines, HeadTooLarge, MeteredInput, RequestEnded
from fulmarhold.wire.sockets import descriptor_limit, has_input, linger, refuse_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock
    from fulmarhold.limits.connections import ConnectionBudget
    from fulmarhold.observe.counters import Counters

log = get_logger("web")

# How long connections may take to send a last response, or to close, at the end of the stop.
LAST_RESPONSE_TIME: Milliseconds = 100.0
# Connections accepted at once, before the first of them is served or refused: far fewer than the
# descriptors in reserve.
MAX_ACCEPTED_AT_ONCE = 8
# How much of a response is sent at once; each piece has to be read within the idle time-out.
SEND_BYTES = 256 * 1024
# How long a refused connection is kept open for reading, after a pause and in all.
LINGER_TIMEOUT: Milliseconds = 300.0
MAX_LINGER: Milliseconds = 3_000.0
STOPPED_STATUS = "503 Service Unavailable"
STOPPED_BODY = b'{"error": "this instance is stopping"}'


# Where a request's environment has the state of its connection.
CONNECTION_KEY = "fulmarhold.connection"
SOCKET_KEY = "fulmarhold.socket"


class _Idle(gevent.GreenletExit):
    """The server stops while the connection waits for a request."""


class _Stopped(gevent.GreenletExit):
    """The server has stopped before the request was answered."""


class ApplicationServer(WSGIServer):
    """Serves an application over persistent connections until it is told to stop."""

    max_accept = MAX_ACCEPTED_AT_ONCE

    def __init__(
        self,
        *arguments: Any,
        budget: ConnectionBudget,
        clock: Clock,
        counters: Counters,
        **options: Any,
    ) -> None:
        super().__init__(*arguments, handler_class=_Handler, **options)
        self.clock = clock
        self._budget = budget
        self._counters = counters
        self._random = Random()
        self._is_stopping = False
        self._idle: set[gevent.Greenlet] = set()

    @property
    def is_stopping(self) -> bool:
        """Whether each connection is closed after the response to its request."""
        return self._is_stopping

    def finish(self, timeout: Milliseconds) -> bool:
        """Accept no more requests, and wait for the responses to those that have arrived.

        Returns whether all are sent within `timeout`; may be called again to wait longer.
        """
        if not self._is_stopping:
            self._is_stopping = True
            self._accept_waiting()
            self.close()
            for connection in list(self._idle):
                self._close_if_idle(connection)
        return bool(self.pool.join(timeout=max(0.0, timeout) / SECOND))

    def stop(self, timeout: float | None = None) -> None:
        """Finish within `timeout` seconds, and answer what is left with 503."""
        seconds = self.stop_timeout if timeout is None else timeout
        if not self.finish(max(seconds * SECOND, LAST_RESPONSE_TIME)):
            log.warning("ended {} connections before their response was sent", len(self.pool))
            self.pool.kill(_Stopped, timeout=LAST_RESPONSE_TIME / SECOND)

    def refuse(self, error: BadRequest) -> bytes:
        """Count a refusal and return the response, which closes the connection."""
        headers: tuple[tuple[str, str], ...] = ()
        if isinstance(error, NoMemory):
            delay = retry_delay_after_refusal(self._random)
            headers = (("Retry-After", f"{delay / SECOND:.3f}"),)
        else:
            self._counters.add("caller_requests_malformed", reason=error.reason)
        response = RawResponse(error.status, headers, error.reason.encode())
        return encode_head(response, "Connection: close") + response.body

    def do_handle(self, connection: Any, address: Any) -> None:
        """Refuse a connection that is one too many, before anything else runs, or serve it.

        A busy process accepts faster than it starts to serve.
        """
        why = self._budget.refusal(address[0], connection.fileno(), descriptor_limit())
        if why is None:
            super().do_handle(connection, address)
        else:
            refuse_connection(connection, self.refuse(NoMemory(why.value)))

    def handle(self, connection: Any, address: Any) -> None:
        """Serve one connection."""
        # Head and body are written separately. Without TCP_NODELAY, the body would be delayed until
        # the head is acknowledged.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        metered = MeteredInput(connection, address[0], self._budget, self.clock)
        try:
            _Handler(connection, address, self, metered).handle()
        finally:
            metered.release()

    def wait_for_bytes(self, read: Callable[[], bytes]) -> bool:
        """Wait until a request begins to arrive; false if the connection closes or is closed."""
        connection = gevent.getcurrent()
        self._idle.add(connection)
        if self._is_stopping:
            # Bytes that have arrived are read first; only a connection that waits is closed.
            gevent.spawn(self._close_if_idle, connection)
        try:
            return bool(read())
        finally:
            self._idle.discard(connection)

    def _accept_waiting(self) -> None:
        """Accept the connections that are established and not accepted yet."""
        while not self.full():
            accepted = self.do_read()
            if accepted is None:
                return
            self.do_handle(*accepted)

    def _close_if_idle(self, connection: gevent.Greenlet) -> None:
        # Called from the hub, so that the connection can't begin to read a request in between.
        def close() -> None:
            if connection in self._idle:
                connection.throw(_Idle())

        gevent.get_hub().loop.run_callback(close)


class _Handler(WSGIHandler):
    def __init__(
        self, connection: Any, address: Any, server: ApplicationServer, metered: MeteredInput
    ) -> None:
        super().__init__(connection, address, server, io.BufferedReader(metered, BUFFER_BYTES))
        self._input = metered
        self._is_first = True

    def handle_one_request(self) -> Any:
        if not self._is_first:
            # Otherwise the requests that one caller has sent ahead would keep others waiting.
            gevent.sleep(0)
        self._is_first = False
        self._input.expect_request()
        try:
            result = super().handle_one_request()
        except RequestEnded as ended:
            result = ("refused", self.server.refuse(ended.refusal))
        if not isinstance(result, tuple):
            return result
        try:
            self.socket.sendall(result[1])
            linger(self.socket, self.server.clock, LINGER_TIMEOUT, MAX_LINGER)
        except OSError as error:
            log.info("refused connection of {} ended: {}", self.client_address, error)
        return None

    def read_requestline(self) -> str:
        try:
            has_begun = self.server.wait_for_bytes(lambda: self.rfile.peek(1))
        except _Idle:
            has_begun = has_input(self.socket.fileno())
        if not has_begun:
            return ""
        self._input.begin()
        return str(super().read_requestline())

    def MessageClass(self, file: Any, *arguments: Any) -> Any:  # noqa: N802
        message = super().MessageClass(HeadLines(file, len(self.requestline)), *arguments)
        self._input.end_head()
        return message

    def get_environ(self) -> dict[str, Any]:
        environment: dict[str, Any] = super().get_environ()
        environment[CONNECTION_KEY] = self._input.tracked
        environment[SOCKET_KEY] = self.socket
        return environment

    def _handle_client_error(self, error: Exception) -> Any:
        if isinstance(error, HeadTooLarge):
            return ("431", self.server.refuse(BadRequest(431, "the headers are too large")))
        return super()._handle_client_error(error)

    def _sendall(self, data: Any) -> None:
        view = memoryview(data)
        for start in range(0, len(view), SEND_BYTES):
            with self._input.sending():
                super()._sendall(view[start : start + SEND_BYTES])

    def finalize_headers(self) -> None:
        super().finalize_headers()
        if self.server.is_stopping:
            self.close_connection = True
            others = [item for item in self.response_headers if item[0].lower() != b"connection"]
            self.response_headers[:] = [*others, (b"Connection", b"close")]

    def run_application(self) -> None:
        try:
            super().run_application()
        except _Stopped:
            headers = [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(STOPPED_BODY))),
            ]
            self._answer_ended(lambda: self._write_whole(STOPPED_STATUS, headers, STOPPED_BODY))
        except RequestEnded as ended:
            answer = self.server.refuse(ended.refusal)
            self._answer_ended(lambda: self._sendall(answer))

    def _write_whole(self, status: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.start_response(status, headers)
        self.write(body)

    def _answer_ended(self, send: Callable[[], None]) -> None:
        """Answer a request whose rest is not waited for, unless its answer has begun."""
        self.close_connection = True
        if self.headers_sent:
            return
        try:
            send()
            # The rest of the request's body is not waited for.
            self.socket.shutdown(socket.SHUT_RD)
        except OSError as error:
            log.info("response to {} not sent: {}", self.client_address, error)
