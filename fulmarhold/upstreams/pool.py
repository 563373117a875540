"""The connections of this entry to one upstream: its share, some of them warm, and a queue."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

from fulmarhold.upstreams.channel import Channel, ChannelState, Exchange

if TYPE_CHECKING:
    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.observe.counters import Counters

LONGEST_CONNECT: Milliseconds = 1_000.0
RECONNECT_PAUSE: Milliseconds = 200.0
LONGEST_QUEUE = 256
# An upstream that has no room resets a connection as soon as it was accepted; three trips between
# data centres and its handshake.
ACCEPTED_AFTER: Milliseconds = 50.0
CONNECT_REFUSED = "connect refused"
# How a connection ends that its upstream resets.
LOST = ("connection lost", "closed by upstream")


class Request(Exchange, Protocol):
    """An exchange that may have become pointless while it waited for a connection."""

    def may_send(self) -> bool:
        """Whether it may still be sent; if not, it is told that it failed unsent."""


class ConnectionPool:
    """At most `limit` connections to `address`; requests beyond that wait in order."""

    def __init__(
        self, address: str, limit: int, warm: int, clock: Clock, counters: Counters
    ) -> None:
        self.address = address
        self.limit = limit
        self._warm = min(warm, limit)
        self._clock = clock
        self._counters = counters
        self._free: list[Channel] = []
        self._channels: dict[Channel, Milliseconds] = {}
        self._connecting: set[Channel] = set()
        self._waiting: deque[Request] = deque()
        self._closed = False
        self._connect_after: Milliseconds = float("-inf")
        # How many connections replies have shown to be accepted; one more may be tried.
        self._proven = 0

    @property
    def load(self) -> int:
        """Requests sent and not answered, or waiting."""
        # Read for every candidate of every sub-request, so it is counted and not searched.
        return len(self._channels) - len(self._free) - len(self._connecting) + len(self._waiting)

    @property
    def connections(self) -> int:
        return len(self._channels)

    @property
    def _may_open(self) -> bool:
        """Whether one more connection is wanted and likely to be accepted.

        After a loss of power of all entries their old connections still count at the upstreams, so
        that an entry's whole share at once would pass what an upstream accepts, and be reset with
        the requests that were sent on it.
        """
        is_wanted = len(self._connecting) < len(self._waiting)
        return is_wanted and len(self._channels) < min(self.limit, self._proven + 1)

    def resize(self, limit: int, warm: int) -> None:
        """Change how many connections there may be, and how many are kept open."""
        self.limit = limit
        self._warm = min(warm, limit)

    def longest_wait(self, now: Milliseconds) -> Milliseconds:
        """Return for how long the oldest unanswered request or connection attempt has waited."""
        longest = 0.0
        for channel, opened_at in self._channels.items():
            if channel.state is ChannelState.BUSY:
                longest = max(longest, now - channel.busy_since)
            elif channel.state is ChannelState.CONNECTING:
                longest = max(longest, now - opened_at)
        return longest

    def withdraw(self, request: Request) -> None:
        """Give up a request: forget it, or close the connection that carries it."""
        if request in self._waiting:
            self._waiting.remove(request)
            return
        for channel in list(self._channels):
            if channel.carries(request):
                channel.close("request withdrawn")
                return

    def submit(self, request: Request) -> None:
        """Send a request, at once or when a connection is free; never blocks."""
        now = self._clock.now()
        if self._closed:
            request.failed("pool closed", sent=False)
        elif channel := self._take_free(now):
            channel.send(request, now)
        elif len(self._waiting) >= LONGEST_QUEUE:
            request.failed("queue full", sent=False)
        elif now < self._connect_after and not self._channels:
            request.failed(CONNECT_REFUSED, sent=False)
        else:
            self._waiting.append(request)
            if self._may_open:
                self._open(now)

    def _take_free(self, now: Milliseconds) -> Channel | None:
        """Return the connection used last, closing those that their upstream is about to close."""
        while self._free:
            channel = self._free.pop()
            if now < channel.usable_until:
                return channel
            channel.close("idle")
        return None

    def try_send(self, request: Request) -> bool:
        """Send a request of lesser weight if a connection is free; returns whether it was."""
        now = self._clock.now()
        channel = self._take_free(now)
        if channel is None:
            return False
        channel.send(request, now)
        return True

    def maintain(self, longest_exchange: Milliseconds) -> None:
        """Close what takes too long and keep the warm connections open; called regularly."""
        now = self._clock.now()
        for channel in [item for item in self._free if now >= item.usable_until]:
            channel.close("idle")
        for channel, opened_at in list(self._channels.items()):
            if channel.state is ChannelState.CONNECTING and now > opened_at + LONGEST_CONNECT:
                channel.close("connect timed out")
            elif channel.state is ChannelState.BUSY and now > channel.busy_since + longest_exchange:
                channel.close("response overdue")
        accepted = sum(1 for at in self._channels.values() if now > at + ACCEPTED_AFTER)
        self._proven = max(self._proven, accepted)
        if len(self._channels) < self._warm and now >= self._connect_after and not self._closed:
            self._open(now)

    def close(self) -> None:
        """Close every connection; open requests fail."""
        self._closed = True
        for channel in list(self._channels):
            channel.close("pool closed")
        self._fail_waiting("pool closed")

    def close_when_idle(self) -> None:
        """Close the free connections now and the others once their response has come."""
        self._closed = True
        for channel in list(self._free):
            channel.close("upstream left")
        self._fail_waiting("upstream left")

    # Called by channels

    def channel_opened(self, channel: Channel) -> None:
        """Take a connection that was just established."""
        self._connecting.discard(channel)
        self._counters.add("connections_opened")
        self._use(channel)

    def channel_free(self, channel: Channel) -> None:
        """Take a connection that has brought a response."""
        self._proven = min(self.limit, max(self._proven, len(self._channels)) + 1)
        self._use(channel)
        if self._may_open and not self._closed:
            self._open(self._clock.now())

    def _use(self, channel: Channel) -> None:
        """Use a free connection for the next waiting request, or keep it."""
        if channel.state is not ChannelState.FREE:
            return
        if self._closed:
            channel.close("upstream left")
            return
        while self._waiting:
            request = self._waiting.popleft()
            if request.may_send():
                channel.send(request, self._clock.now())
                return
            request.failed("not sent in time", sent=False)
        channel.note_idle(self._clock.now())
        self._free.append(channel)

    def channel_closed(self, channel: Channel, reason: str) -> None:
        """Forget a closed connection and replace it if requests wait."""
        opened_at = self._channels.pop(channel, None)
        self._counters.add("connections_closed", reason=reason)
        self._connecting.discard(channel)
        if channel in self._free:
            self._free.remove(channel)
        if reason in LOST:
            self._proven = min(self._proven, len(self._channels))
        if opened_at is not None and reason.startswith(("E", "connect")):
            self._connect_after = self._clock.now() + RECONNECT_PAUSE
            if not self._channels:
                self._fail_waiting(CONNECT_REFUSED)
        elif self._may_open and not self._closed:
            self._open(self._clock.now())

    def _open(self, now: Milliseconds) -> None:
        channel = Channel(self.address, self)
        self._channels[channel] = now
        self._connecting.add(channel)

    def _fail_waiting(self, reason: str) -> None:
        waiting, self._waiting = self._waiting, deque()
        for request in waiting:
            request.failed(reason, sent=False)
