"""Server side of the msgpack streams: dispatches typed requests to handlers."""

from __future__ import annotations

import errno
import socket
from typing import TYPE_CHECKING, Any

import gevent
from gevent.lock import RLock
from gevent.pool import Pool
from gevent.server import StreamServer

from fulmarhold.errors import FulmarholdError, MalformedInput
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.frames import ONE_WAY, FrameDecoder, encode_frame
from fulmarhold.wire.messages import Failure
from fulmarhold.wire.sockets import prepare_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.observe.counters import Counters

log = get_logger("wire")

READ_BYTES = 65_536
MAX_CONCURRENT_REQUESTS = 1_024
MAX_CONNECTIONS = 2_048
NOTHING = object()


class MessageServer:
    """Listens on one endpoint and passes each message to the handler of its type."""

    def __init__(self, endpoint: str, counters: Counters) -> None:
        self._endpoint = endpoint
        self._counters = counters
        self._handlers: dict[type, Callable[[Any], Any]] = {}
        self._requests = Pool(MAX_CONCURRENT_REQUESTS)
        self._server: StreamServer | None = None

    def handle(self, message_type: type, handler: Callable[[Any], Any]) -> None:
        """Register the handler of a message type; it returns the reply, or `None` for no reply."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Start listening; raises `FulmarholdError` if the port can't be bound."""
        address, _, port = self._endpoint.rpartition(":")
        listener = listen(address, int(port))
        self._server = StreamServer(listener, self._serve, spawn=Pool(MAX_CONNECTIONS))
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.stop(timeout=0)
        self._requests.kill(block=False)

    def _serve(self, connection: Any, peer: tuple[str, int]) -> None:
        decoder = FrameDecoder()
        write_lock = RLock()
        try:
            prepare_connection(connection)
            while data := connection.recv(READ_BYTES):
                for request_id, value in decoder.feed(data):
                    self._requests.spawn(self._answer, connection, write_lock, request_id, value)
        except MalformedInput as error:
            self._counters.add("wire_refusals", reason="malformed_frame")
            log.warning(
                "malformed frame from {}:{}, closing the connection: {}", peer[0], peer[1], error
            )
        except OSError:
            self._counters.add("wire_refusals", reason="connection_lost")
        finally:
            connection.close()

    def _answer(self, connection: Any, write_lock: RLock, request_id: int, value: Any) -> None:
        reply = self._reply(value)
        if request_id == ONE_WAY or reply is None:
            return
        try:
            with write_lock:
                connection.sendall(encode_frame(request_id, reply))
        except OSError:
            self._counters.add("wire_refusals", reason="reply_not_sent")

    def _reply(self, value: Any) -> Any:
        handler = self._handlers.get(type(value))
        if handler is None:
            self._counters.add("wire_refusals", reason="unexpected_message")
            return Failure("unexpected_message", type(value).__name__)
        try:
            return handler(value)
        except gevent.GreenletExit:
            raise
        except FulmarholdError as error:
            return Failure("failed", str(error))
        except Exception as error:
            log.exception("handler of {} failed", type(value).__name__)
            return Failure("failed", repr(error))


def listen(address: str, port: int, backlog: int = 1_024) -> Any:
    """Return a listening socket; raises `FulmarholdError` if the port can't be bound."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    try:
        return StreamServer.get_listener((address, port), backlog=backlog, family=family)
    except OSError as error:
        reason = "is in use" if error.errno == errno.EADDRINUSE else f"can't be bound: {error}"
        raise FulmarholdError(
            f"port {port} of {address} {reason}", step="starting to listen"
        ) from error
