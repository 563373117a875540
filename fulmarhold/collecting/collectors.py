"""The collectors that an entry uses: one in each other data centre, with others in reserve."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
import xxhash

from fulmarhold.clock import Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.observe.logs import get_logger
from fulmarhold.observe.traffic import TrafficCounter
from fulmarhold.routing.replica import PROBE_PERIOD, UNRESPONSIVE_AFTER
from fulmarhold.wire.client import Link

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Clock
    from fulmarhold.collecting.messages import CollectParts
    from fulmarhold.membership.statements import InstanceStatement
    from fulmarhold.observe.counters import Counters
    from fulmarhold.wire.client import Stream, StreamReceiver

log = get_logger("collecting")

# Pause between attempts to connect to the same collector; the restart of one takes half a second.
CONNECT_PAUSE: Milliseconds = 500.0


class Collectors:
    """Connections to the collectors, opened when queries first need them."""

    def __init__(self, own: InstanceStatement, port: int, clock: Clock, counters: Counters) -> None:
        self._own = own
        self._port = port
        self._clock = clock
        self._traffic = TrafficCounter(own.data_centre, counters)
        self._links: dict[str, CollectorLink] = {}
        self._ranked: dict[str, list[CollectorLink]] = {}

    def update(self, entries: Iterable[InstanceStatement]) -> None:
        """Use the entries that callers use now."""
        before, self._links, self._ranked = self._links, {}, {}
        for item in rank_collectors(entries, self._own):
            link = before.pop(item.endpoint, None)
            if link is None or link.born != item.born:
                endpoint = f"{item.endpoint.rpartition(':')[0]}:{self._port}"
                link = CollectorLink(item.name, item.born, item.data_centre, endpoint, self._clock)
            link.is_busy = item.is_busy
            self._links[item.endpoint] = link
            self._ranked.setdefault(item.data_centre, []).append(link)
        for link in before.values():
            link.close_when_idle()

    def usable(self) -> dict[str, CollectorLink]:
        """Return the collector to use in each data centre that has a connected one.

        One that is preferred but not connected is connected in the background. Busy ones are left
        to their own callers.
        """
        now = self._clock.now()
        chosen: dict[str, CollectorLink] = {}
        for data_centre, links in self._ranked.items():
            for link in links:
                if link.is_responsive(now) and not link.is_busy:
                    if link.is_connected:
                        chosen[data_centre] = link
                        break
                    link.connect_soon(now)
        return chosen

    def maintain(self) -> None:
        """Count the bytes that were exchanged; called periodically."""
        for link in self._links.values():
            self._traffic.add("collect", link.take_bytes(), link.data_centre)

    def close(self) -> None:
        """Close every connection."""
        for link in self._links.values():
            link.close()


class CollectorLink:
    """The connection to one collector."""

    def __init__(self, name: str, born: int, data_centre: str, endpoint: str, clock: Clock) -> None:
        self.name = name
        self.born = born
        self.data_centre = data_centre
        # Whether requests wait for its processor.
        self.is_busy = False
        self._link = Link(endpoint)
        self._clock = clock
        self._open_count = 0
        self._is_leaving = False
        self._connect_after: Milliseconds = float("-inf")
        self._sent_at: Milliseconds = float("-inf")
        self._unanswered_since: Milliseconds | None = None

    @property
    def is_connected(self) -> bool:
        return self._link.is_connected

    def is_responsive(self, now: Milliseconds) -> bool:
        """Whether it replies as far as is known, or is due to be tried again."""
        since = self._unanswered_since
        if since is None or now - since <= UNRESPONSIVE_AFTER:
            return True
        return now > self._sent_at + PROBE_PERIOD

    def connect_soon(self, now: Milliseconds) -> None:
        """Connect in the background, unless that was tried a moment ago."""
        if now >= self._connect_after:
            self._connect_after = now + CONNECT_PAUSE
            gevent.spawn(self._connect)

    def ask(self, request: CollectParts, receiver: StreamReceiver) -> AskedCollection:
        """Send a request; its replies, or the loss of the connection, go to `receiver`."""
        self._sent_at = self._clock.now()
        if self._unanswered_since is None:
            self._unanswered_since = self._sent_at
        self._open_count += 1
        asked = AskedCollection(self, receiver)
        asked.stream = self._link.open_stream(request, asked)
        return asked

    def note_reply(self) -> None:
        """Record that the collector replies."""
        self._unanswered_since = None

    def note_end(self) -> None:
        """Record that a request has ended."""
        self._open_count -= 1
        if not self._open_count:
            # What is cancelled before it is replied to says nothing.
            now = self._clock.now()
            if self._unanswered_since and now - self._unanswered_since <= UNRESPONSIVE_AFTER:
                self._unanswered_since = None
            if self._is_leaving:
                gevent.spawn(self._link.close)

    def take_bytes(self) -> int:
        """Return how many bytes were sent and received since the last call."""
        return self._link.take_bytes()

    def close_when_idle(self) -> None:
        """Close the connection once the open requests have ended."""
        self._is_leaving = True
        if not self._open_count:
            self._link.close()

    def close(self) -> None:
        """Close the connection; open requests fail."""
        self._link.close()

    def _connect(self) -> None:
        try:
            self._link.connect()
        except PeerUnavailable as error:
            log.info("can't connect to collector {}: {}", self.name, error)


class AskedCollection:
    """A request to a collector; keeps the collector's state up to date with its replies."""

    def __init__(self, collector: CollectorLink, receiver: StreamReceiver) -> None:
        self._collector = collector
        self._receiver = receiver
        self._has_ended = False
        self.stream: Stream | None = None

    def replied(self, value: Any) -> bool:
        """Pass a reply on; returns whether more are expected."""
        self._collector.note_reply()
        expects_more = self._receiver.replied(value)
        if not expects_more:
            self._end()
        return expects_more

    def lost(self, reason: str) -> None:
        """Pass the loss of the connection on."""
        self._collector.note_reply()
        self._end()
        self._receiver.lost(reason)

    def cancel(self, *, keep_work: bool) -> None:
        """Take no more replies, and tell the collector whether upstreams may finish their work."""
        if self.stream is not None:
            self.stream.cancel(keep_work=keep_work)
        self._end()

    def _end(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._collector.note_end()


def rank_collectors(
    entries: Iterable[InstanceStatement], own: InstanceStatement
) -> list[InstanceStatement]:
    """Return the entries of other data centres that may collect for `own`, preferred ones first.

    Each entry has its own order, by a hash of both names: the work spreads over a data centre, and
    when an entry comes or goes, only those that preferred it change.
    """
    return sorted(
        (item for item in entries if item.data_centre != own.data_centre),
        key=lambda item: xxhash.xxh64_intdigest(f"{own.name} {item.name}".encode()),
    )
