"""A pool of this entry's connections to one upstream, with warm connections and a queue."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import gevent

from fulmarhold.clock import SECOND
from fulmarhold.upstreams.channel import Channel, ChannelState, Exchange

if TYPE_CHECKING:
    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.limits.memory import MemoryBudget
    from fulmarhold.observe.counters import Counters

CONNECT_TIMEOUT: Milliseconds = 1_000.0
RECONNECT_DELAY: Milliseconds = 200.0
MAX_QUEUE_LENGTH = 256
# A connection that stays open this long counts as accepted: an upstream at its connection limit
# resets a connection right after accepting it. Covers three trips between data centres and the
# upstream's handshake.
ACCEPTED_AFTER: Milliseconds = 50.0
# A reset of an excess connection arrives one round trip after it was established, and connecting
# takes one round trip.
RESET_ROUND_TRIPS = 1.5
RESET_MARGIN: Milliseconds = 2.0
# An upstream stops work at the deadline and says so. One that has not answered this long after it
# hangs, or sends a response that never ends; until it is closed, the connection is of no use.
OVERDUE_MARGIN: Milliseconds = 1_000.0
CONNECT_REFUSED = "connect refused"
# Reasons with which a channel closes when its upstream resets the connection.
CONNECTION_LOST = "connection lost"
RESET_REASONS = (CONNECTION_LOST, "closed by upstream")


class Request(Exchange, Protocol):
    """An exchange that can expire while it waits for a connection."""

    def may_send(self) -> bool:
        """Whether it may still be sent; if not, `failed` is called with `sent=False`."""


class Gate(Protocol):
    """Decides whether connections may be opened."""

    def may_connect(self, now: Milliseconds) -> bool: ...


class ConnectionPool:
    """At most `limit` connections to `address`; further requests wait in FIFO order.

    `memory` bounds the bytes of unfinished responses, together with everything else that it counts.
    """

    def __init__(
        self,
        address: str,
        limit: int,
        warm: int,
        clock: Clock,
        counters: Counters,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.address = address
        self.memory = memory
        self.gate: Gate | None = None
        self.limit = limit
        self._warm = min(warm, limit)
        self._clock = clock
        self._counters = counters
        self._free: list[Channel] = []
        self._channels: dict[Channel, Milliseconds] = {}
        self._connecting: set[Channel] = set()
        # A list, since an empty deque takes 0.8 KB; it has at most `MAX_QUEUE_LENGTH` items.
        self._waiting: list[Request] = []
        self._closed = False
        self._connect_after: Milliseconds = float("-inf")
        # The number of connections that the upstream is known to accept; one more may be tried.
        self._known_capacity = 0
        self._bytes = 0

    @property
    def load(self) -> int:
        """The number of requests that are waiting or sent and unanswered."""
        # Computed without a search: it is read for every candidate of every sub-request.
        return len(self._channels) - len(self._free) - len(self._connecting) + len(self._waiting)

    @property
    def connections(self) -> int:
        return len(self._channels)

    @property
    def _may_open(self) -> bool:
        if self._closed:
            return False
        return self.gate is None or self.gate.may_connect(self._clock.now())

    @property
    def _should_open(self) -> bool:
        """Whether one more connection is wanted and likely to be accepted.

        After all entries lost power, upstreams still count their old connections. An entry that
        opened its whole share at once would then exceed the upstream's connection limit, and the
        upstream would reset connections that already carry requests.
        """
        is_wanted = len(self._connecting) < len(self._waiting)
        is_allowed = self._clock.now() >= self._connect_after
        return (
            is_wanted
            and is_allowed
            and len(self._channels) < min(self.limit, self._known_capacity + 1)
        )

    def resize(self, limit: int, warm: int) -> None:
        """Change the maximum number of connections and the number of warm ones."""
        self.limit = limit
        self._warm = min(warm, limit)

    def longest_wait(self, now: Milliseconds) -> Milliseconds:
        """Return the age of the oldest unanswered request or unfinished connection attempt."""
        longest = 0.0
        for channel, opened_at in self._channels.items():
            if channel.state is ChannelState.BUSY:
                longest = max(longest, now - channel.busy_since)
            elif channel.state is ChannelState.CONNECTING:
                longest = max(longest, now - opened_at)
        return longest

    def withdraw(self, request: Request) -> None:
        """Cancel a request: remove it from the queue, or close the connection that carries it."""
        if request in self._waiting:
            self._waiting.remove(request)
            return
        for channel in list(self._channels):
            if channel.carries(request):
                channel.close("request withdrawn")
                return

    def submit(self, request: Request) -> None:
        """Send a request now or queue it until a connection is free; never blocks."""
        now = self._clock.now()
        if self._closed:
            request.failed("pool closed", sent=False)
        elif channel := self._take_free(now):
            channel.send(request, now)
        elif len(self._waiting) >= MAX_QUEUE_LENGTH:
            request.failed("queue full", sent=False)
        elif now < self._connect_after and not self._channels:
            request.failed(CONNECT_REFUSED, sent=False)
        else:
            self._waiting.append(request)
            self._open_if_wanted()

    def _take_free(self, now: Milliseconds) -> Channel | None:
        """Return the most recently used free connection; close those that are about to expire."""
        while self._free:
            channel = self._free.pop()
            if now < channel.usable_until:
                return channel
            channel.close("idle")
        return None

    def try_send(self, request: Request) -> bool:
        """Send a low-priority request if a connection is free; returns whether it was sent."""
        now = self._clock.now()
        channel = self._take_free(now)
        if channel is None:
            return False
        channel.send(request, now)
        return True

    def maintain(self) -> None:
        """Close expired and overdue connections and open warm ones; called periodically."""
        now = self._clock.now()
        for channel in [item for item in self._free if now >= item.usable_until]:
            channel.close("idle")
        for channel, opened_at in list(self._channels.items()):
            if channel.state is ChannelState.CONNECTING and now > opened_at + CONNECT_TIMEOUT:
                channel.close("connect timed out")
            elif channel.state is ChannelState.BUSY and now > channel.expires_at + OVERDUE_MARGIN:
                channel.close("response overdue")
        accepted = sum(1 for at in self._channels.values() if now > at + ACCEPTED_AFTER)
        self._known_capacity = max(self._known_capacity, accepted)
        is_cold = len(self._channels) < self._warm and now >= self._connect_after
        if (is_cold or self._should_open) and self._may_open:
            self._open(now)

    def close(self) -> None:
        """Close every connection; pending requests fail."""
        self._closed = True
        for channel in list(self._channels):
            channel.close("pool closed")
        self.fail_waiting("pool closed")

    def close_when_idle(self) -> None:
        """Close the free connections now and the others after their response."""
        self._closed = True
        for channel in [*self._free, *self._connecting]:
            channel.close("upstream left")
        self.fail_waiting("upstream left")

    def fail_waiting(self, reason: str) -> None:
        """Fail the requests that wait for a connection; none of them was sent."""
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            request.failed(reason, sent=False)

    def take_bytes(self) -> int:
        """Return how many bytes were sent and received since the last call."""
        count, self._bytes = self._bytes, 0
        return count

    # Called by channels

    def count_bytes(self, size: int) -> None:
        """Count bytes that a channel sent or received."""
        self._bytes += size

    def channel_opened(self, channel: Channel) -> None:
        """Handle a newly established connection.

        One beyond the number that is known to be accepted carries no request until its reset would
        have arrived: a request on it would count as one that may have run.
        """
        self._counters.add("connections_opened")
        if len(self._channels) <= self._known_capacity:
            self._use(channel)
            return
        round_trip = self._clock.now() - self._channels[channel]
        delay = min(ACCEPTED_AFTER, RESET_ROUND_TRIPS * round_trip + RESET_MARGIN)
        gevent.spawn_later(delay / SECOND, self._use, channel)

    def _use(self, channel: Channel) -> None:
        if channel not in self._connecting:
            return
        self._connecting.discard(channel)
        accepted = len(self._channels) - len(self._connecting)
        self._known_capacity = max(self._known_capacity, accepted)
        self._assign(channel)
        self._open_if_wanted()

    def channel_free(self, channel: Channel) -> None:
        """Handle a connection that is free again after a response."""
        self._assign(channel)
        self._open_if_wanted()

    def _assign(self, channel: Channel) -> None:
        """Send the next waiting request on a free connection, or add it to the free list."""
        if channel.state is not ChannelState.FREE:
            return
        if self._closed:
            channel.close("upstream left")
            return
        while self._waiting:
            request = self._waiting.pop(0)
            if request.may_send():
                channel.send(request, self._clock.now())
                return
            request.failed("not sent in time", sent=False)
        channel.mark_idle(self._clock.now())
        self._free.append(channel)

    def channel_closed(self, channel: Channel, reason: str) -> None:
        """Remove a closed connection, and open another one if requests are waiting."""
        opened_at = self._channels.pop(channel, None)
        is_excess = reason in RESET_REASONS and channel in self._connecting
        self._counters.add("connections_closed", reason="excess" if is_excess else reason)
        self._connecting.discard(channel)
        if channel in self._free:
            self._free.remove(channel)
        if is_excess or reason == CONNECTION_LOST:
            # One that is closed while idle says nothing about the upstream's limit.
            self._known_capacity = min(self._known_capacity, len(self._channels))
        if opened_at is not None and (is_excess or reason.startswith(("E", "connect"))):
            self._connect_after = self._clock.now() + RECONNECT_DELAY
            if not self._channels:
                self.fail_waiting(CONNECT_REFUSED)
        else:
            self._open_if_wanted()

    def _open_if_wanted(self) -> None:
        if self._should_open and self._may_open:
            self._open(self._clock.now())

    def _open(self, now: Milliseconds) -> None:
        channel = Channel(self.address, self)
        self._channels[channel] = now
        self._connecting.add(channel)
