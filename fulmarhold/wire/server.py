"""Server side of the msgpack streams: dispatches typed requests to handlers."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

import gevent
from gevent.lock import RLock
from gevent.pool import Group, Pool
from gevent.server import StreamServer

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import FulmarholdError, MalformedInput
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.frames import ONE_WAY, FrameDecoder, encode_frame
from fulmarhold.wire.messages import CancelStream, Failure
from fulmarhold.wire.sockets import prepare_connection

if TYPE_CHECKING:
    from fulmarhold.observe.counters import Counters

log = get_logger("wire")

READ_BYTES = 65_536
MAX_CONCURRENT_REQUESTS = 1_024
MAX_CONNECTIONS = 2_048
NOTHING = object()
# How long a stopping server waits for its handlers, and then for the peers to read their replies.
REPLY_TIME: Milliseconds = 100.0
STOPPING = Failure("stopping")


class ServedStream(Protocol):
    """The work for a request that is answered by several replies."""

    def cancel(self, *, keep_work: bool) -> None:
        """Send no more replies; called when the peer needs none, or is gone."""


class StreamReplies:
    """Sends the replies of one stream; neither method blocks."""

    def __init__(self, connection: Any, write_lock: RLock, stream_id: int, writes: Group) -> None:
        self._connection = connection
        self._write_lock = write_lock
        self._stream_id = stream_id
        self._writes = writes
        self.has_ended = False

    def send(self, reply: Any, *, is_last: bool = False) -> None:
        """Send a reply; the peer learns from its content that it is the last one."""
        self.has_ended = self.has_ended or is_last
        self._writes.spawn(self._write, _encode_reply(self._stream_id, reply))

    def end(self) -> None:
        """End the stream without a further reply."""
        self.has_ended = True

    def _write(self, frame: bytes) -> None:
        try:
            with self._write_lock:
                self._connection.sendall(frame)
        except OSError as error:
            # The reading side of the connection fails too, and cancels its streams.
            log.info("reply of stream {} not sent: {}", self._stream_id, error)


StreamOpener = Callable[[Any, StreamReplies], ServedStream]


class MessageServer:
    """Listens on one endpoint and passes each message to the handler of its type."""

    def __init__(self, endpoint: str, counters: Counters) -> None:
        self._endpoint = endpoint
        self._counters = counters
        self._handlers: dict[type, Callable[[Any], Any]] = {}
        self._openers: dict[type, StreamOpener] = {}
        self._requests = Pool(MAX_CONCURRENT_REQUESTS)
        # Replies of streams that are being written.
        self._writes = Group()
        self._is_stopping = False
        self._server: StreamServer | None = None

    def handle(self, message_type: type, handler: Callable[[Any], Any]) -> None:
        """Register the handler of a message type; it returns the reply, or `None` for no reply."""
        self._handlers[message_type] = handler

    def handle_stream(self, message_type: type, opener: StreamOpener) -> None:
        """Register what starts the work for a message type that gets several replies."""
        self._openers[message_type] = opener

    def start(self) -> None:
        """Start listening; raises `FulmarholdError` if the port can't be bound."""
        address, _, port = self._endpoint.rpartition(":")
        listener = listen(address, int(port))
        self._server = StreamServer(listener, self._serve, spawn=Pool(MAX_CONNECTIONS))
        self._server.start()

    def stop(self, timeout: Milliseconds = REPLY_TIME) -> None:
        """Stop listening, reply to the open requests, and close every connection.

        Requests that don't end within `timeout`, and new ones, get a failure as reply. What opened
        the streams has to end them before.
        """
        self._is_stopping = True
        if self._server is not None:
            self._server.close()
        if not self._requests.join(timeout / SECOND):
            log.warning("ended {} requests before their reply was sent", len(self._requests))
            self._requests.kill(timeout=REPLY_TIME / SECOND)
        if not self._writes.join(REPLY_TIME / SECOND):
            log.warning("closed before {} replies were sent", len(self._writes))
        if self._server is not None:
            self._server.stop(timeout=0)

    def _serve(self, connection: Any, peer: tuple[str, int]) -> None:
        decoder = FrameDecoder()
        write_lock = RLock()
        streams = _Streams()
        try:
            prepare_connection(connection)
            while data := connection.recv(READ_BYTES):
                for request_id, value in decoder.feed(data):
                    if isinstance(value, CancelStream):
                        streams.cancel(value)
                    elif opener := self._openers.get(type(value)):
                        replies = StreamReplies(connection, write_lock, request_id, self._writes)
                        streams.add(request_id, replies, opener, value)
                    else:
                        self._requests.spawn(
                            self._answer, connection, write_lock, request_id, value
                        )
                streams.open_added()
        except MalformedInput as error:
            self._counters.add("wire_refusals", reason="malformed_frame")
            log.warning(
                "malformed frame from {}:{}, closing the connection: {}", peer[0], peer[1], error
            )
        except OSError:
            self._counters.add("wire_refusals", reason="connection_lost")
        finally:
            streams.cancel_all()
            connection.close()

    def _answer(self, connection: Any, write_lock: RLock, request_id: int, value: Any) -> None:
        # One-way messages are still handled: open requests may depend on them.
        is_refused = self._is_stopping and request_id != ONE_WAY
        reply = STOPPING if is_refused else self._reply(value)
        if request_id == ONE_WAY or reply is None:
            return
        frame = _encode_reply(request_id, reply)
        try:
            with write_lock:
                connection.sendall(frame)
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
            return STOPPING
        except FulmarholdError as error:
            return Failure("failed", str(error))
        except Exception as error:
            log.exception("handler of {} failed", type(value).__name__)
            return Failure("failed", repr(error))


class _Streams:
    """The streams of one connection.

    All that is read at once is looked at before any stream is opened, so that a process that was
    suspended does not start what its peer cancelled meanwhile.
    """

    def __init__(self) -> None:
        self._added: dict[int, tuple[StreamReplies, StreamOpener, Any]] = {}
        self._open: dict[int, tuple[StreamReplies, ServedStream]] = {}

    def add(
        self, stream_id: int, replies: StreamReplies, opener: StreamOpener, request: Any
    ) -> None:
        """Add a request that opens a stream with the next `open_added`."""
        self._added[stream_id] = (replies, opener, request)

    def open_added(self) -> None:
        """Start the work for the requests that were added and not cancelled."""
        added, self._added = self._added, {}
        if added:
            self._forget_ended()
        for stream_id, (replies, opener, request) in added.items():
            if len(self._open) >= MAX_CONCURRENT_REQUESTS:
                replies.send(Failure("overloaded", "too many open streams"), is_last=True)
                continue
            try:
                self._open[stream_id] = (replies, opener(request, replies))
            except Exception as error:
                log.exception("stream of {} failed to start", type(request).__name__)
                replies.send(Failure("failed", repr(error)), is_last=True)

    def cancel(self, message: CancelStream) -> None:
        """Cancel a stream, or forget its request if it is not open yet."""
        if self._added.pop(message.stream_id, None) is not None:
            return
        _, stream = self._open.pop(message.stream_id, (None, None))
        if stream is not None:
            stream.cancel(keep_work=message.keep_work)

    def cancel_all(self) -> None:
        streams, self._open = self._open, {}
        for _, stream in streams.values():
            stream.cancel(keep_work=False)

    def _forget_ended(self) -> None:
        self._open = {key: item for key, item in self._open.items() if not item[0].has_ended}


def _encode_reply(request_id: int, reply: Any) -> bytes:
    """Return the frame of a reply, or of a failure if the reply can't be encoded."""
    try:
        return encode_frame(request_id, reply)
    except MalformedInput as error:
        log.error("reply replaced by a failure: {}", error)
        return encode_frame(request_id, Failure("failed", str(error)))


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
