"""Serves typed requests of other processes over msgpack streams."""

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
REQUESTS_AT_ONCE = 1_024
CONNECTIONS_AT_ONCE = 2_048
NOTHING = object()


class MessageServer:
    """Listens on one endpoint and gives each message to the handler filed for its type."""

    def __init__(self, endpoint: str, counters: Counters) -> None:
        self._endpoint = endpoint
        self._counters = counters
        self._handlers: dict[type, Callable[[Any], Any]] = {}
        self._requests = Pool(REQUESTS_AT_ONCE)
        self._server: StreamServer | None = None

    def handle(self, message_type: type, handler: Callable[[Any], Any]) -> None:
        """File the handler of a message type; it returns the reply, or `None` for none."""
        self._handlers[message_type] = handler

    def start(self) -> None:
        """Start to listen; raises `FulmarholdError` when the port is in use."""
        address, _, port = self._endpoint.rpartition(":")
        listener = listen(address, int(port))
        self._server = StreamServer(listener, self._serve, spawn=Pool(CONNECTIONS_AT_ONCE))
        self._server.start()

    def stop(self) -> None:
        """Stop to listen and close every connection."""
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
            log.warning("refused a frame from {}:{}: {}", peer[0], peer[1], error)
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
    """Return a listening socket; raises `FulmarholdError` when the port can't be had."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    try:
        return StreamServer.get_listener((address, port), backlog=backlog, family=family)
    except OSError as error:
        reason = "is in use" if error.errno == errno.EADDRINUSE else f"can't be had: {error}"
        raise FulmarholdError(
            f"port {port} of {address} {reason}", step="starting to listen"
        ) from error
