"""The upstreams that announce themselves to this entry, each under a lease.

A lease starts when the entry issued the token that the announcement carries, not when the
announcement arrives, so that a delayed announcement can't extend it.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import TYPE_CHECKING

from fulmarhold.errors import MalformedInput
from fulmarhold.membership.records import UpstreamRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.membership.records import Announcement
    from fulmarhold.observe.counters import Counters

# Returned to upstreams by an entry that has no configuration yet.
DEFAULT_ANNOUNCEMENT_PERIOD: Milliseconds = 500.0
DEFAULT_ANNOUNCEMENT_LEASE: Milliseconds = 1_700.0
TOMBSTONE_AGE: Milliseconds = 60_000.0
MAX_UPSTREAMS = 20_000
_VOLATILE_FIELDS = ("sequence", "load")
_STABLE_CONTENT = attrgetter(
    *(item.name for item in fields(UpstreamRecord) if item.name not in _VOLATILE_FIELDS)
)


@dataclass
class LeasedRecord:
    """A record and the end of its lease; renewed in place."""

    record: UpstreamRecord
    valid_until: Milliseconds
    data_centre: str = ""

    def data_centre_of(self, _: str) -> str:
        """Return the data centre that the upstream has named, or an empty string."""
        return self.data_centre


@dataclass(frozen=True)
class _Newest:
    """What was announced last for an address: the order of its record, and when it came."""

    order: tuple[int, int]
    service: str
    seen_at: Milliseconds


class AnnouncedSet:
    """The records under a lease, by address; `version` grows whenever their content changes.

    `services` returns those that the configuration names, or `None` while none is known. Another
    service takes no address from them.
    """

    def __init__(
        self,
        clock: Clock,
        counters: Counters,
        services: Callable[[], Container[str] | None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._services = services
        self._held: dict[str, LeasedRecord] = {}
        self._newest: dict[str, _Newest] = {}
        self.source = uuid.uuid4().hex
        self.version = 1

    def issue_token(self) -> str:
        """Return a token that proves that its bearer was in contact with this entry now."""
        return f"{self.source}:{self._clock.now():.3f}"

    def apply(self, announcement: Announcement, lease: Milliseconds) -> bool:
        """Apply an announcement and return whether its upstream holds a lease now.

        Raises `MalformedInput` when it contradicts the layout that other upstreams announced.
        """
        record = announcement.upstream
        self._check_layout(record)
        newest = self._newest.get(record.address)
        if newest is not None:
            is_configured = self._is_configured(record.service)
            was_configured = self._is_configured(newest.service)
            if (is_configured, record.order) < (was_configured, newest.order):
                reason = "superseded" if is_configured == was_configured else "unknown_service"
                self._counters.add("announcement_refusals", reason=reason)
                return False
        if record.address not in self._held and len(self._held) >= MAX_UPSTREAMS:
            self._counters.add("announcement_refusals", reason="too_many")
            return False
        now = self._clock.now()
        self._newest[record.address] = _Newest(record.order, record.service, now)
        valid_until = self._token_issued_at(announcement.token) + lease
        if record.state == "draining":
            # Draining takes effect at once, however old the token is.
            valid_until = now + lease
        previous = self._held.get(record.address)
        if valid_until <= now:
            self._counters.add("announcement_refusals", reason="no_fresh_token")
            if previous is not None and record.order > previous.record.order:
                self._remove(record.address)
            return False
        data_centre = announcement.data_centre
        if (
            previous is not None
            and _have_same_content(previous.record, record)
            and previous.data_centre == data_centre
        ):
            previous.record, previous.valid_until = record, valid_until
        else:
            self._held[record.address] = LeasedRecord(record, valid_until, data_centre)
            self.version += 1
        return True

    def expire(self) -> None:
        """Remove the records whose lease has ended, and tombstones past `TOMBSTONE_AGE`."""
        now = self._clock.now()
        for address in [key for key, held in self._held.items() if held.valid_until <= now]:
            self._counters.add("leases_ended", reason="silence")
            self._remove(address)
        for address in [
            key
            for key, newest in self._newest.items()
            if key not in self._held and newest.seen_at < now - TOMBSTONE_AGE
        ]:
            del self._newest[address]

    def held(self) -> tuple[LeasedRecord, ...]:
        """Return the records with the ends of their leases."""
        return tuple(self._held.values())

    def records(self) -> tuple[UpstreamRecord, ...]:
        """Return the records that hold a lease from this entry."""
        return tuple(held.record for held in self._held.values())

    def data_centres(self) -> dict[str, str]:
        """Return the data centres of the records whose upstreams have named them, by address."""
        return {key: held.data_centre for key, held in self._held.items() if held.data_centre}

    def _is_configured(self, service: str) -> bool:
        """Whether the configuration names a service, as far as one is known."""
        services = self._services()
        return services is None or service in services

    def _remove(self, address: str) -> None:
        del self._held[address]
        self.version += 1

    def _token_issued_at(self, token: str) -> Milliseconds:
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


def _have_same_content(one: UpstreamRecord, other: UpstreamRecord) -> bool:
    """Whether two records differ at most in sequence and load, which change constantly."""
    return _STABLE_CONTENT(one) == _STABLE_CONTENT(other)
