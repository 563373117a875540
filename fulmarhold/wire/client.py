"""Client side of the msgpack streams: typed requests over a persistent connection."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, Protocol

import gevent
import gevent.socket
from gevent.event import AsyncResult
from gevent.lock import RLock

from fulmarhold.clock import SECOND
from fulmarhold.errors import FulmarholdError, MalformedInput, PeerUnavailable, ReplyTimeout
from fulmarhold.observe.limited import bounded_text
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.frames import ONE_WAY, FrameDecoder, encode_frame
from fulmarhold.wire.messages import CancelStream, Failure
from fulmarhold.wire.server import READ_BYTES
from fulmarhold.wire.sockets import prepare_connection, socket_address

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

log = get_logger("wire")

CONNECT_TIMEOUT: Milliseconds = 1_000.0


class CallFailed(FulmarholdError):
    """The peer replied with a failure."""

    def __init__(self, failure: Failure, *, step: str, peer: str) -> None:
        super().__init__(f"{failure.reason} {failure.detail}".strip(), step=step, peer=peer)
        self.reason = failure.reason


class StreamReceiver(Protocol):
    """Takes the replies of one stream; called from the event loop, so it must not block."""

    def replied(self, value: Any) -> bool:
        """Handle a reply; returns whether more are expected."""

    def lost(self, reason: str) -> None:
        """Handle the loss of the connection; no reply follows."""


class Stream:
    """A request that is answered by several replies."""

    def __init__(self, link: Link, stream_id: int, receiver: StreamReceiver) -> None:
        self._link = link
        self._stream_id = stream_id
        self._receiver = receiver

    def cancel(self, *, keep_work: bool) -> None:
        """Take no more replies, and tell the peer whether its work for them may finish."""
        self._link.cancel_stream(self._stream_id, keep_work=keep_work)

    def set(self, value: Any) -> None:
        """Pass a reply on."""
        if not self._receiver.replied(value):
            self._link.forget_stream(self._stream_id)

    def set_exception(self, error: FulmarholdError) -> None:
        """Report that no reply follows."""
        self._receiver.lost(str(error))


class Link:
    """A connection to one endpoint, opened on demand and reopened after a loss."""

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        self._socket: Any = None
        self._reader: gevent.Greenlet | None = None
        self._waiting: dict[int, AsyncResult | Stream] = {}
        self._ids = itertools.count(ONE_WAY + 1)
        self._write_lock = RLock()
        self._bytes = 0

    @property
    def is_connected(self) -> bool:
        return self._socket is not None

    def connect(self) -> None:
        """Open the connection if there is none; raises `PeerUnavailable` if that fails."""
        with self._write_lock:
            self._connect("connecting")

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

    def open_stream(self, request: Any, receiver: StreamReceiver) -> Stream:
        """Send a request with several replies, without waiting until it is written."""
        stream_id = next(self._ids)
        stream = self._waiting[stream_id] = Stream(self, stream_id, receiver)
        gevent.spawn(self._write_for_stream, stream_id, request)
        return stream

    def cancel_stream(self, stream_id: int, *, keep_work: bool) -> None:
        """Forget a stream and tell the peer, without waiting until that is written."""
        if self._waiting.pop(stream_id, None) is not None and self.is_connected:
            gevent.spawn(self._write_cancellation, CancelStream(stream_id, keep_work))

    def forget_stream(self, stream_id: int) -> None:
        """Forget a stream whose last reply has arrived."""
        self._waiting.pop(stream_id, None)

    def _write_for_stream(self, stream_id: int, request: Any) -> None:
        try:
            self._write(encode_frame(stream_id, request), type(request).__name__)
        except (PeerUnavailable, MalformedInput) as error:
            # Already told to the stream if the connection broke; not if it could not be opened, or
            # the request not be encoded.
            if (stream := self._waiting.pop(stream_id, None)) is not None:
                stream.set_exception(error)

    def _write_cancellation(self, cancellation: CancelStream) -> None:
        try:
            self.send(cancellation)
        except PeerUnavailable as error:
            # The peer cancels the streams of a connection that breaks.
            log.info("cancellation of a stream not sent to {}: {}", self.endpoint, error)

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
        try:
            connection = _open_connection(self.endpoint)
        except (OSError, ValueError) as error:
            reason = bounded_text(str(error))
            raise PeerUnavailable(reason, step=step, peer=bounded_text(self.endpoint)) from error
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
                    waiting = self._waiting.get(request_id)
                    if waiting is not None:
                        waiting.set(value)
        except (OSError, MalformedInput) as error:
            reason = str(error)
        finally:
            self._drop(connection, reason)

    def _drop(self, connection: Any, reason: str) -> None:
        if connection is None or connection is not self._socket:
            return
        self._socket = None
        connection.close()
        waiting, self._waiting = self._waiting, {}
        for result in waiting.values():
            result.set_exception(PeerUnavailable(reason, step="reading", peer=self.endpoint))


def _open_connection(endpoint: str) -> Any:
    """Return a new connection to IP:port.

    Opened without gevent's `create_connection`, which resolves even a numeric address: in a thread,
    whose modules and memory the process would keep.
    """
    family, target = socket_address(endpoint)
    connection = gevent.socket.socket(family)
    try:
        connection.settimeout(CONNECT_TIMEOUT / SECOND)
        connection.connect(target)
        connection.settimeout(None)
        prepare_connection(connection)
    except BaseException:
        connection.close()
        raise
    return connection
