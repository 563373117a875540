"""A persistent connection to an upstream, driven by event-loop callbacks without a greenlet."""

from __future__ import annotations

import errno
import socket
from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol

import gevent

from fulmarhold.errors import MalformedInput
from fulmarhold.limits.memory import Shortage
from fulmarhold.observe.logs import get_logger
from fulmarhold.upstreams.protocol import ResponseReader, UpstreamResponse
from fulmarhold.wire.sockets import prepare_connection, socket_address

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.limits.holdings import ResponseHolding
    from fulmarhold.limits.memory import MemoryBudget

log = get_logger("channel")

READABLE = 1
WRITABLE = 2
# Small, so that one connection with costly input does not hold up the others for long.
READ_BYTES = 16_384
CONNECT_FAILED = "connect failed"
NO_MEMORY = "no memory for the response"
# The upstream is not at fault: responses for others are still received.
SHARE_USED = "the caller's share of the memory is used up"
# An idle connection is closed this long before its upstream would close it, so that no request is
# sent while the upstream is closing.
KEEP_ALIVE_MARGIN: Milliseconds = 700.0


class Exchange(Protocol):
    """One request and its response, as the connection sees them."""

    @property
    def expires_at(self) -> Milliseconds:
        """When a response is of no use any more; the upstream was told this deadline."""

    @property
    def memory_owners(self) -> tuple[str, ...]:
        """Whose share of the memory the response takes."""

    def encode(self) -> bytes:
        """Return the bytes of the request; called at the moment of sending."""

    def completed(self, response: UpstreamResponse) -> bool:
        """Handle the complete response; returns whether the connection may be reused."""

    def failed(self, reason: str, *, sent: bool) -> None:
        """Handle the failure of the request; `sent` tells whether any byte may have been sent."""


class ChannelOwner(Protocol):
    """Receives the state changes of a channel."""

    @property
    def address(self) -> str: ...

    @property
    def memory(self) -> MemoryBudget | None:
        """What bounds the bytes of unfinished responses, if anything does."""

    def channel_opened(self, channel: Channel) -> None: ...

    def channel_free(self, channel: Channel) -> None: ...

    def channel_closed(self, channel: Channel, reason: str) -> None: ...

    def count_bytes(self, size: int) -> None: ...


class ChannelState(Enum):
    """The lifecycle state of a channel."""

    CONNECTING = "connecting"
    FREE = "free"
    BUSY = "busy"
    CLOSED = "closed"


class Channel:
    """A non-blocking connection that carries one exchange at a time.

    A connection that can't be attempted closes in the next turn of the event loop, like one that is
    refused.
    """

    __slots__ = ("_exchange", "_held", "_keep_alive", "_owner", "_pending", "_reader", "_socket",
                 "_watchers", "busy_since", "expires_at", "state", "usable_until")  # fmt: skip

    def __init__(self, address: str, owner: ChannelOwner) -> None:
        self._owner = owner
        self._exchange: Exchange | None = None
        self._held: ResponseHolding | None = None
        self._pending = memoryview(b"")
        self._reader = ResponseReader()
        self.state = ChannelState.CONNECTING
        self.busy_since: Milliseconds = 0.0
        self.expires_at: Milliseconds = float("inf")
        self.usable_until: Milliseconds = float("inf")
        self._keep_alive: Milliseconds = float("inf")
        self._socket: Any = None
        self._watchers: dict[int, Any] = {}
        reason = self._start_connecting(address)
        if reason:
            gevent.get_hub().loop.run_callback(self.close, reason)

    def send(self, exchange: Exchange, now: Milliseconds) -> None:
        """Send the request of an exchange; the channel must be free."""
        self._exchange = exchange
        self.state = ChannelState.BUSY
        self.busy_since = now
        self.expires_at = exchange.expires_at
        data = exchange.encode()
        self._owner.count_bytes(len(data))
        try:
            sent = self._socket.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close("connection lost")
            return
        if sent < len(data):
            self._pending = memoryview(data)[sent:]
            self._watchers[WRITABLE].start(self._on_writable)

    def carries(self, exchange: Exchange) -> bool:
        """Whether an exchange is in progress on this connection."""
        return self._exchange is exchange

    def mark_idle(self, now: Milliseconds) -> None:
        """Start the period for which the upstream keeps an idle connection open."""
        self.usable_until = now + self._keep_alive

    def close(self, reason: str) -> None:
        """Close the connection; an exchange in progress fails with `sent=True`."""
        if self.state is ChannelState.CLOSED:
            return
        self.state = ChannelState.CLOSED
        for watcher in self._watchers.values():
            watcher.stop()
            watcher.close()
        if self._socket is not None:
            self._socket.close()
        self._reader.close()
        self._release()
        exchange, self._exchange = self._exchange, None
        self._owner.channel_closed(self, reason)
        if exchange is not None:
            exchange.failed(reason, sent=True)

    def _start_connecting(self, address: str) -> str:
        """Start the connection attempt and return why it failed, empty if it is in progress."""
        try:
            family, target = socket_address(address)
            self._socket = socket.socket(family)
            self._socket.setblocking(False)
            prepare_connection(self._socket)
            code = self._socket.connect_ex(target)
        except (OSError, OverflowError, ValueError) as error:
            # Without a file descriptor to spare, the code is EMFILE; other errors come from an
            # address that no connection can be made to.
            log.warning("no connection to {!r:.80} can be attempted: {!s:.200}", address, error)
            return errno.errorcode.get(getattr(error, "errno", None) or 0, CONNECT_FAILED)
        if code not in (0, errno.EINPROGRESS):
            return errno.errorcode.get(code, CONNECT_FAILED)
        loop = gevent.get_hub().loop
        descriptor = self._socket.fileno()
        for events in (READABLE, WRITABLE):
            self._watchers[events] = loop.io(descriptor, events)
        self._watchers[WRITABLE].start(self._on_connected)
        return ""

    def _on_connected(self) -> None:
        self._watchers[WRITABLE].stop()
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close(errno.errorcode.get(code, CONNECT_FAILED))
            return
        self._watchers[READABLE].start(self._on_readable)
        self.state = ChannelState.FREE
        self._owner.channel_opened(self)

    def _on_writable(self) -> None:
        try:
            sent = self._socket.send(self._pending)
        except BlockingIOError:
            return
        except OSError:
            self.close("connection lost")
            return
        self._pending = self._pending[sent:]
        if not self._pending:
            self._watchers[WRITABLE].stop()

    def _on_readable(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close("connection lost")
            return
        self._owner.count_bytes(len(data))
        if not data and self._exchange is not None and self._reader.end_of_stream():
            self._finish(self._exchange)
            return
        if not data or self._exchange is None:
            # An idle connection becomes readable when it was closed or carries unsolicited data.
            self.close("closed by upstream" if not data else "unexpected data")
            return
        try:
            self._reader.feed(data)
        except MalformedInput:
            self.close("malformed response")
            return
        if self._reader.is_too_large:
            self.close("response too large")
        elif self._reader.is_complete:
            self._finish(self._exchange)
        else:
            self._hold(self._exchange.memory_owners, len(data))

    def _hold(self, owners: tuple[str, ...], size: int) -> None:
        """Account for bytes of an unfinished response, which may close this connection."""
        memory = self._owner.memory
        if memory is None:
            return
        if self._held is None:
            self._held = memory.open_response(self._owner.address, self._give_way, owners)
        self._held.grow(size)

    def _give_way(self, shortage: Shortage) -> None:
        self.close(SHARE_USED if shortage is Shortage.SHARE_USED else NO_MEMORY)

    def _release(self) -> None:
        held, self._held = self._held, None
        if held is not None:
            held.release()

    def _finish(self, exchange: Exchange) -> None:
        response = self._reader.take()
        self._release()
        if response.keep_alive is not None:
            self._keep_alive = max(0.0, response.keep_alive - KEEP_ALIVE_MARGIN)
        self._exchange = None
        is_trusted = exchange.completed(response)
        # A response before the whole request was written leaves the stream in an undefined state.
        if is_trusted and response.keep_open and not self._pending:
            self.state = ChannelState.FREE
            self._owner.channel_free(self)
        else:
            self.close("not kept open")
