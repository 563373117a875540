"""The WSGI server of the HTTP interfaces; its stop answers every request that has arrived."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.sockets import has_input

if TYPE_CHECKING:
    from collections.abc import Callable

log = get_logger("web")

# How long connections may take to send a last response, or to close, at the end of the stop.
LAST_RESPONSE_TIME: Milliseconds = 100.0
# The key of the connection's socket in the environment of a request.
CONNECTION = "fulmarhold.connection"
STOPPED_STATUS = "503 Service Unavailable"
STOPPED_BODY = b'{"error": "this instance is stopping"}'


class _Idle(gevent.GreenletExit):
    """The server stops while the connection waits for a request."""


class _Stopped(gevent.GreenletExit):
    """The server has stopped before the request was answered."""


class ApplicationServer(WSGIServer):
    """Serves an application over persistent connections until it is told to stop."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, handler_class=_Handler, **options)
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

    def handle(self, connection: Any, address: Any) -> None:
        """Serve one connection."""
        # Head and body are written separately. Without TCP_NODELAY, the body would be delayed until
        # the head is acknowledged.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(connection, address)

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
    def get_environ(self) -> dict[str, Any]:
        return {**super().get_environ(), CONNECTION: self.socket}

    def read_requestline(self) -> str:
        try:
            has_begun = self.server.wait_for_bytes(lambda: self.rfile.peek(1))
        except _Idle:
            has_begun = has_input(self.socket.fileno())
        return str(super().read_requestline()) if has_begun else ""

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
            self._answer_stopped()

    def _answer_stopped(self) -> None:
        self.close_connection = True
        if self.headers_sent:
            return
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(STOPPED_BODY))),
        ]
        try:
            self.start_response(STOPPED_STATUS, headers)
            self.write(STOPPED_BODY)
            # The rest of the request's body is not waited for.
            self.socket.shutdown(socket.SHUT_RD)
        except OSError as error:
            log.info("response to {} not sent: {}", self.client_address, error)
