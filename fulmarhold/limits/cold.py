"""Bound on the requests that reach a cold upstream within one second, summed over all entries.

Handles this load: a whole data centre of upstreams is cold at once, all entries want to use them,
and entries start, stop, are suspended or lose control at the same time. Well above the bound, a
cold upstream crashes.

The bound is divided over the active entries, without any message. Entries learn of a change at
different times, so an entry uses the smallest part that any set of entries gave it within the last
`VIEW_HOLD` ms. An entry that has just started, does not know the others, stands by, or has not
heard of control for `CONTACT_TIME` ms has no part.

Why the sum holds: let each entry in contact know every change `CONTACT_TIME` ms after it was made.
For a window that ends at `t`, take the set of entries that was current at `t` - `VIEW_HOLD`. Every
entry that sends within the window has known this set during the last `VIEW_HOLD` ms and sends at
most its part of it. An entry that skips a set, because the next one follows at once, can exceed
this by its part of the change; `PLANNED_SHARE` leaves room for that.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarhold.clock import Milliseconds

# Requests of one entry are counted over this window rather than a second: they may be delayed on
# their way by the difference.
WINDOW: Milliseconds = 1_250.0
# Control declares an entry silent 1,500 ms after it was last in contact, and the others divide its
# part; by then it has stopped using it.
CONTACT_TIME: Milliseconds = 1_200.0
VIEW_HOLD: Milliseconds = WINDOW + CONTACT_TIME
# After a loss of contact, the set of entries is brought up to date within this time.
RESUME_DELAY: Milliseconds = 200.0
# The rest covers requests that are delayed for longer, and sets of entries that follow each other
# faster than entries learn of them.
PLANNED_SHARE = 0.8
# By how much the wall clock of an upstream's machine may be behind that of this entry's.
CLOCK_TOLERANCE: Milliseconds = 60_000.0


@dataclass(frozen=True)
class WarmUpBound:
    """At most `rate` * `overage` + `slack` requests a second may reach a cold upstream."""

    overage: float = 1.5
    slack: float = 5.0

    def total(self, rate: float) -> float:
        """Return the bound for an upstream that can bear `rate` requests a second.

        >>> WarmUpBound().total(20.0)
        35.0
        """
        return rate * self.overage + self.slack


DEFAULT_BOUND = WarmUpBound()


@dataclass(frozen=True)
class _View:
    """A set of active entries, and until when this entry believed in it."""

    names: frozenset[str]
    held_until: Milliseconds


class EntryShares:
    """The sets of active entries that this entry has recently believed in.

    >>> shares = EntryShares("a")
    >>> shares.update({"a", "b"}, 0.0)
    >>> shares.note_contact(3_000.0, 3_000.0)
    >>> gate = ColdGate(shares, "u", WarmUpBound(), 10.0)
    >>> gate.note_cold(60_000.0, 0.0)
    >>> gate.part(1_000.0), gate.part(3_000.0)
    (0, 8)
    """

    def __init__(self, own: str) -> None:
        self.own = own
        # Grows with each change of the sets.
        self.version = 0
        self._names: frozenset[str] = frozenset()
        # Until the first update, this entry knows of no entry.
        self._past: list[_View] = []
        self._confirmed_at: Milliseconds = float("-inf")
        self._usable_from: Milliseconds = float("-inf")

    @property
    def views(self) -> list[_View]:
        """The current set and those that were given up within `VIEW_HOLD` ms of the last change."""
        return [*self._past, _View(self._names, float("inf"))]

    def update(self, names: Collection[str], now: Milliseconds) -> None:
        """Set the names of the active entries."""
        if self._names == frozenset(names):
            return
        self._past = [item for item in self._past if item.held_until > now - VIEW_HOLD]
        self._past.append(_View(self._names, now))
        if not self.is_in_contact(now):
            # Sets that this entry never heard of may have followed each other in between.
            self._past.append(_View(frozenset(), now))
        self._names = frozenset(names)
        self.version += 1

    def note_contact(self, confirmed_at: Milliseconds, now: Milliseconds) -> None:
        """Set when control last confirmed what this entry knows."""
        if confirmed_at <= self._confirmed_at:
            return
        if now - self._confirmed_at > CONTACT_TIME:
            self._usable_from = now + RESUME_DELAY
        self._confirmed_at = confirmed_at

    def is_in_contact(self, now: Milliseconds) -> bool:
        """Whether control has confirmed the set of entries recently enough to send by it."""
        return now > self._usable_from and now - self._confirmed_at <= CONTACT_TIME


class ColdGate:
    """Admits an entry's part of the requests that may reach one upstream while it is cold.

    `rate` is the number of requests a second that the upstream can bear; zero means no bound.
    """

    __slots__ = ("_bound", "_cold_until", "_last_sent_at", "_parts", "_quiet_until", "_rate",
                 "_sent", "_shares", "_upstream", "_version")  # fmt: skip

    def __init__(self, shares: EntryShares, upstream: str, bound: WarmUpBound, rate: float) -> None:
        self._shares = shares
        self._upstream = upstream
        self._bound = bound
        self._rate = rate
        self._cold_until: Milliseconds = float("-inf")
        self._quiet_until: Milliseconds = float("-inf")
        self._last_sent_at: Milliseconds = float("-inf")
        self._sent: deque[Milliseconds] = deque()
        # This entry's part by each set of entries, and until when it believed in that set.
        self._parts: list[tuple[Milliseconds, int]] = []
        self._version = -1

    @property
    def cold_until(self) -> Milliseconds:
        return self._cold_until

    @property
    def total(self) -> float:
        """How many requests of all entries may reach the upstream within a second."""
        return self._bound.total(self._rate)

    def is_cold(self, now: Milliseconds) -> bool:
        """Whether the upstream is cold and has a bound."""
        return now < self._cold_until and self._rate > 0

    def resize(self, bound: WarmUpBound, rate: float) -> None:
        """Set the bound and the requests a second that the upstream can bear."""
        if (bound, rate) != (self._bound, self._rate):
            self._bound, self._rate, self._version = bound, rate, -1

    def note_cold(self, remaining: Milliseconds, now: Milliseconds) -> None:
        """Record that the upstream stays cold for `remaining` ms.

        It never shortens the time, as statements can arrive out of order.
        """
        if remaining > 0 and now >= self._cold_until:
            # What it got before is not counted one by one.
            self._quiet_until = self._last_sent_at + WINDOW
        self._cold_until = max(self._cold_until, now + remaining)

    def part(self, now: Milliseconds) -> int:
        """Return how many requests this entry may send within `WINDOW` ms."""
        if self._version != self._shares.version:
            self._version = self._shares.version
            total = int(PLANNED_SHARE * self.total)
            self._parts = [
                (view.held_until, own_part(self._upstream, self._shares.own, view.names, total))
                for view in self._shares.views
            ]
        return min(part for held_until, part in self._parts if held_until > now - VIEW_HOLD)

    def has_room(self, now: Milliseconds) -> bool:
        """Whether one more request may be sent now; always true while the upstream is not cold."""
        if not self.is_cold(now):
            return True
        if now < self._quiet_until or not self._shares.is_in_contact(now):
            return False
        while self._sent and self._sent[0] <= now - WINDOW:
            self._sent.popleft()
        return len(self._sent) < self.part(now)

    def room_at(self, now: Milliseconds) -> Milliseconds:
        """Return when there is room for one more request, as far as that is known.

        Without a part or without contact to control, that is the end of the warm-up.
        """
        if self.has_room(now):
            return now
        if now < self._quiet_until:
            return min(self._quiet_until, self._cold_until)
        if not self._shares.is_in_contact(now) or len(self._sent) < max(1, self.part(now)):
            return self._cold_until
        return min(self._sent[-self.part(now)] + WINDOW, self._cold_until)

    def note_sent(self, now: Milliseconds) -> None:
        """Record that a request is being sent."""
        self._last_sent_at = now
        if self.is_cold(now):
            self._sent.append(now)
        else:
            self._sent.clear()


def warm_up_left(warm_up: Milliseconds, age: Milliseconds, *, is_new: bool) -> Milliseconds:
    """Return how long an upstream of a service with `warm_up` stays cold after its start.

    `age` is the time since its start by wall clocks, which may disagree. They only tell one that
    started long ago, and is back, from one that `is_new` to this entry because it has just started.

    >>> warm_up_left(8_000.0, -500.0, is_new=False), warm_up_left(8_000.0, 3_000.0, is_new=False)
    (8000.0, 5000.0)
    >>> warm_up_left(8_000.0, 30_000.0, is_new=True), warm_up_left(8_000.0, 9e9, is_new=True)
    (8000.0, 0.0)
    """
    if is_new and age <= warm_up + CLOCK_TOLERANCE:
        return warm_up
    return max(0.0, warm_up - max(0.0, age))


def own_part(upstream: str, own: str, names: Collection[str], total: int) -> int:
    """Return the part of `own` of `total` requests, all of which `names` share.

    What does not divide evenly goes to the entries that rendezvous hashing of (upstream, entry)
    chooses, so that a change of the entries moves few of these requests.

    >>> names = [f"e{number}" for number in range(7)]
    >>> sorted(own_part("u", name, names, 17) for name in names)
    [2, 2, 2, 2, 3, 3, 3]
    >>> own_part("u", "standby", names, 17)
    0
    """
    if own not in names:
        return 0
    even, left = divmod(total, len(names))
    if not left:
        return even
    weight = _weight(upstream, own)
    is_chosen = sum(_weight(upstream, name) > weight for name in names) < left
    return even + is_chosen


def _weight(upstream: str, entry: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{upstream}\n{entry}".encode()), entry
