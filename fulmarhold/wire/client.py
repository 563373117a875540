"""Client side of the msgpack streams: typed requests over a persistent connection."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import gevent
import gevent.socket
from gevent.event import AsyncResult
from gevent.lock import RLock

from fulmarhold.clock import SECOND
from fulmarhold.errors import FulmarholdError, MalformedInput, PeerUnavailable, ReplyTimeout
from fulmarhold.wire.frames import ONE_WAY, FrameDecoder, encode_frame
from fulmarhold.wire.messages import Failure
from fulmarhold.wire.server import READ_BYTES
from fulmarhold.wire.sockets import prepare_connection

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

CONNECT_TIMEOUT: Milliseconds = 1_000.0


class CallFailed(FulmarholdError):
    """The peer replied with a failure."""

    def __init__(self, failure: Failure, *, step: str, peer: str) -> None:
        super().__init__(f"{failure.reason} {failure.detail}".strip(), step=step, peer=peer)
        self.reason = failure.reason


class Link:
    """A connection to one endpoint, opened on demand and reopened after a loss."""

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        self._socket: Any = None
        self._reader: gevent.Greenlet | None = None
        self._waiting: dict[int, AsyncResult] = {}
        self._ids = itertools.count(ONE_WAY + 1)
        self._write_lock = RLock()
        self._bytes = 0

    def take_bytes(self) -> int:
        """Return how many bytes were sent and received since the last call."""
        count, self._bytes = self._bytes, 0
        return count

    def call(self, request: Any, timeout: Milliseconds) -> Any:
        """Send a request and return its reply.

        Raises `PeerUnavailable` if the connection failed, its subclass `ReplyTimeout` without a
        reply within `timeout` milliseconds, and `CallFailed` if the peer replied with a failure.
        """
        step = type(request).__name__
        request_id = next(self._ids)
        result: AsyncResult = AsyncResult()
        self._waiting[request_id] = result
        try:
            with gevent.Timeout(timeout / SECOND, ReplyTimeout("no reply in time", step=step)):
                self._write(encode_frame(request_id, request), step)
                reply = result.get()
        except PeerUnavailable as error:
            error.peer = self.endpoint
            raise
        finally:
            self._waiting.pop(request_id, None)
        if isinstance(reply, Failure):
            raise CallFailed(reply, step=step, peer=self.endpoint)
        return reply

    def send(self, value: Any) -> None:
        """Send a one-way message; raises `PeerUnavailable` if it can't be sent."""
        self._write(encode_frame(ONE_WAY, value), type(value).__name__)

    def close(self) -> None:
        """Close the connection; pending calls fail."""
        if self._reader is not None:
            self._reader.kill(block=False)
        self._drop(self._socket, "closed")

    def _write(self, frame: bytes, step: str) -> None:
        with self._write_lock:
            connection = self._connect(step)
            try:
                connection.sendall(frame)
                self._bytes += len(frame)
            except OSError as error:
                self._drop(connection, str(error))
                raise PeerUnavailable(str(error), step=step, peer=self.endpoint) from error
            except BaseException:
                # A timeout may have interrupted the frame, which would corrupt the stream.
                self._drop(connection, "write was interrupted")
                raise

    def _connect(self, step: str) -> Any:
        if self._socket is not None:
            return self._socket
        address, _, port = self.endpoint.rpartition(":")
        try:
            connection = gevent.socket.create_connection(
                (address, int(port)), timeout=CONNECT_TIMEOUT / SECOND
            )
            connection.settimeout(None)
            prepare_connection(connection)
        except OSError as error:
            raise PeerUnavailable(str(error), step=step, peer=self.endpoint) from error
        self._socket = connection
        self._reader = gevent.spawn(self._read, connection)
        return connection

    def _read(self, connection: Any) -> None:
        decoder = FrameDecoder()
        reason = "connection closed"
        try:
            while data := connection.recv(READ_BYTES):
                self._bytes += len(data)
                for request_id, value in decoder.feed(data):
                    waiting = self._waiting.pop(request_id, None)
                    if waiting is not None:
                        waiting.set(value)
        except (OSError, MalformedInput) as error:
            reason = str(error)
        self._drop(connection, reason)

    def _drop(self, connection: Any, reason: str) -> None:
        if connection is None or connection is not self._socket:
            return
        self._socket = None
        connection.close()
        waiting, self._waiting = self._waiting, {}
        for result in waiting.values():
            result.set_exception(PeerUnavailable(reason, step="reading", peer=self.endpoint))
