"""The upstreams that announce themselves to this entry, each under a lease.

A lease runs from the moment at which the entry issued the token that the announcement carries,
not from its arrival: an announcement that was held up on the way can't extend it.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import TYPE_CHECKING

from fulmarhold.errors import MalformedInput
from fulmarhold.membership.records import UpstreamRecord

if TYPE_CHECKING:
    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.membership.records import Announcement
    from fulmarhold.observe.counters import Counters

# What an entry that knows no configuration yet tells upstreams.
DEFAULT_ANNOUNCEMENT_PERIOD: Milliseconds = 500.0
DEFAULT_ANNOUNCEMENT_LEASE: Milliseconds = 1_700.0
TOMBSTONE_AGE: Milliseconds = 60_000.0
MOST_UPSTREAMS = 20_000
_CHANGING = ("sequence", "load")
_CONTENT = attrgetter(*(item.name for item in fields(UpstreamRecord) if item.name not in _CHANGING))


@dataclass
class Held:
    """A record and until when it may be relied on; renewed in place."""

    record: UpstreamRecord
    valid_until: Milliseconds


class AnnouncedSet:
    """Records by address; `version` grows whenever what is vouched for changes."""

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._held: dict[str, Held] = {}
        self._newest: dict[str, tuple[tuple[int, int], Milliseconds]] = {}
        self.source = uuid.uuid4().hex
        self.version = 1

    def issue_token(self) -> str:
        """Return a token that shows that its bearer heard from this entry now."""
        return f"{self.source}:{self._clock.now():.3f}"

    def apply(self, announcement: Announcement, lease: Milliseconds) -> bool:
        """Take in an announcement; returns whether it holds a lease now.

        Raises `MalformedInput` when it contradicts the layout that others announced.
        """
        record = announcement.upstream
        self._check_layout(record)
        newest = self._newest.get(record.address)
        if newest is not None and record.order < newest[0]:
            self._counters.add("announcement_refusals", reason="superseded")
            return False
        if record.address not in self._held and len(self._held) >= MOST_UPSTREAMS:
            self._counters.add("announcement_refusals", reason="too_many")
            return False
        now = self._clock.now()
        self._newest[record.address] = (record.order, now)
        valid_until = self._token_time(announcement.token) + lease
        if record.state == "draining":
            # Leaving takes effect at once, however old the token is.
            valid_until = now + lease
        before = self._held.get(record.address)
        if valid_until <= now:
            self._counters.add("announcement_refusals", reason="no_fresh_token")
            if before is not None and record.order > before.record.order:
                self._drop(record.address)
            return False
        if before is not None and _says_the_same(before.record, record):
            before.record, before.valid_until = record, valid_until
        else:
            self._held[record.address] = Held(record, valid_until)
            self.version += 1
        return True

    def expire(self) -> None:
        """Drop the records whose lease has run out, and forget old tombstones."""
        now = self._clock.now()
        for address in [key for key, held in self._held.items() if held.valid_until <= now]:
            self._counters.add("leases_ended", reason="silence")
            self._drop(address)
        for address in [
            key
            for key, (_, seen) in self._newest.items()
            if key not in self._held and seen < now - TOMBSTONE_AGE
        ]:
            del self._newest[address]

    def held(self) -> tuple[Held, ...]:
        """Return everything that holds a lease."""
        return tuple(self._held.values())

    def records(self) -> tuple[UpstreamRecord, ...]:
        """Return the records that this entry vouches for."""
        return tuple(held.record for held in self._held.values())

    def _drop(self, address: str) -> None:
        del self._held[address]
        self.version += 1

    def _token_time(self, token: str) -> Milliseconds:
        source, _, issued = token.partition(":")
        if source != self.source:
            return float("-inf")
        try:
            return min(float(issued), self._clock.now())
        except ValueError:
            return float("-inf")

    def _check_layout(self, record: UpstreamRecord) -> None:
        if record.shard >= record.layout_shards:
            self._counters.add("announcement_refusals", reason="shard_outside_layout")
            raise MalformedInput(
                f"upstream.shard: {record.shard} is outside of a layout of {record.layout_shards}",
                step="announcing",
                peer=record.address,
            )
        for held in self._held.values():
            other = held.record
            if (other.service, other.layout) == (record.service, record.layout):
                if other.layout_shards != record.layout_shards:
                    self._counters.add("announcement_refusals", reason="layout_conflict")
                    raise MalformedInput(
                        f"upstream.layout_shards: layout {record.layout} has "
                        f"{other.layout_shards} shards, not {record.layout_shards}",
                        step="announcing",
                        peer=record.address,
                    )
                return


def _says_the_same(one: UpstreamRecord, other: UpstreamRecord) -> bool:
    """Whether two records are alike but for sequence and load, which change all the time."""
    return _CONTENT(one) == _CONTENT(other)
