"""Divides the reserve of an account over the active entries, without messages.

In any window, the uses of one entry are at most its share. The sum over all entries holds because:

- An entry uses its share only once it has been active for `window + SPREAD_TIME`. By then, an entry
  that it replaces, also an earlier run of its own, has not used its own share for a whole window.
- It stops when its knowledge of the active entries is older than a window, since another entry may
  have taken its place by then.
- It divides by the highest number of active entries in the last window: those that are no longer
  active may have used their shares.

Where a share is below one request, a few entries are chosen for each account by rendezvous hashing
and have one request each.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarhold.clock import Milliseconds

# How long a change of the active entries may take to reach all entries in contact with control.
SPREAD_TIME: Milliseconds = 2_000.0
# The part of a share that may be used at once; the rest is regained over a window.
BURST_SHARE = 0.6
NEVER: Milliseconds = float("inf")


@dataclass(frozen=True)
class ReserveShare:
    """What one entry may use of an account: `burst` at once and `fill` per millisecond."""

    burst: float
    fill: float


class ActiveEntries:
    """What an entry knows of the active entries, and when it may use its share of the reserves.

    >>> active = ActiveEntries("b", window=5_000.0)
    >>> active.confirm(0.0)
    >>> active.update({"a", "b"}, now=0.0)
    >>> active.confirm(4_000.0)
    >>> active.is_usable(6_900.0), active.is_usable(7_000.0), active.is_usable(9_001.0)
    (False, True, False)
    >>> active.share("account", 10.0, 7_000.0)
    ReserveShare(burst=3.0, fill=0.0004)
    """

    def __init__(self, own: str, window: Milliseconds) -> None:
        self._own = own
        self._window = window
        self._names: frozenset[str] = frozenset()
        self._active_since: Milliseconds = NEVER
        self._changed_at: Milliseconds = NEVER
        self._confirmed_at: Milliseconds = -NEVER
        # Earlier numbers of active entries, with the time until which they hold.
        self._numbers: deque[tuple[Milliseconds, int]] = deque()

    @property
    def confirmed_at(self) -> Milliseconds:
        return self._confirmed_at

    @property
    def includes_own(self) -> bool:
        """Whether this entry is active."""
        return self._own in self._names

    def confirm(self, confirmed_at: Milliseconds) -> None:
        """Note up to when the set of active entries is known.

        After a gap of more than a window, another entry may have used the share of this one.
        """
        if confirmed_at > self._confirmed_at + self._window and self._active_since != NEVER:
            self._active_since = confirmed_at
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def update(self, names: Collection[str], now: Milliseconds) -> None:
        """Set the names of the active entries, none while they are unknown."""
        if frozenset(names) == self._names:
            return
        while self._numbers and self._numbers[0][0] + self._window + SPREAD_TIME < now:
            self._numbers.popleft()
        self._numbers.append((now, len(self._names)))
        self._names = frozenset(names)
        self._changed_at = now
        if self._own not in self._names:
            self._active_since = NEVER
        elif self._active_since == NEVER:
            self._active_since = now

    def is_usable(self, now: Milliseconds) -> bool:
        """Whether this entry may use its shares."""
        is_known = now <= self._confirmed_at + self._window
        return is_known and now >= self._active_since + self._window + SPREAD_TIME

    def share(self, account: str, reserve: float, now: Milliseconds) -> ReserveShare | None:
        """Return this entry's share of the reserve of an account, or `None` if it has none."""
        count = self._most_active(now)
        if self._own not in self._names or reserve < 1:
            return None
        part = reserve / count
        if part < 1:
            # Entries that were not chosen before the change may only use theirs a window later.
            if now < self._changed_at + self._window + SPREAD_TIME:
                return None
            chosen = int(reserve)
            if not self._is_chosen(account, chosen):
                return None
            part = reserve / chosen
        burst = max(1.0, BURST_SHARE * part)
        return ReserveShare(burst, (part - burst) / self._window)

    def _most_active(self, now: Milliseconds) -> int:
        earliest = now - self._window - SPREAD_TIME
        return max(
            [len(self._names), *(count for until, count in self._numbers if until >= earliest)]
        )

    def _is_chosen(self, account: str, count: int) -> bool:
        own = _weight(account, self._own)
        return sum(_weight(account, name) > own for name in self._names) < count


def _weight(account: str, name: str) -> int:
    return int(xxhash.xxh64_intdigest(f"{account}\0{name}".encode()))


class Reserve:
    """The part of an account's reserve that one entry may use.

    >>> reserve = Reserve()
    >>> reserve.fill(ReserveShare(2.0, 0.001), 0.0)
    >>> reserve.take(0.0), reserve.take(0.0), reserve.take(0.0), reserve.missing
    (True, True, False, 2)
    """

    def __init__(self) -> None:
        self._content = 0.0
        self._burst = 0.0
        self._filled_at: Milliseconds = -NEVER
        self._used_at: Milliseconds = -NEVER

    @property
    def content(self) -> float:
        """How many requests it has."""
        return self._content

    @property
    def used_at(self) -> Milliseconds:
        """When it was last used."""
        return self._used_at

    @property
    def missing(self) -> int:
        """How many requests have to be restored until it is full, rounded.

        At least one if the next request would not find any.
        """
        is_empty = self._content < 1 <= self._burst
        return max(int(is_empty), math.ceil(self._burst - self._content - 0.5))

    def fill(self, share: ReserveShare, now: Milliseconds) -> None:
        """Add what has accrued; the first time, everything."""
        if self._filled_at == -NEVER:
            self._content = share.burst
        elapsed = max(0.0, now - self._filled_at) if self._filled_at > -NEVER else 0.0
        self._filled_at, self._burst = now, share.burst
        self._content = min(share.burst, self._content + share.fill * elapsed)

    def restore(self, requests: float) -> None:
        """Add requests that were not run, or tokens."""
        self._content = min(self._burst, self._content + requests)

    def take(self, now: Milliseconds) -> bool:
        """Use one request; returns whether there was one."""
        if self._content < 1:
            return False
        self._content -= 1
        self._used_at = now
        return True
