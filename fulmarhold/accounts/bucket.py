"""Divides what an account may use in any window between the entries' reserves and the leader.

All entries together may run `rate * window + burst` requests of an account in any window, plus an
overage: a share of that number and a fixed slack. The overage pays for dividing the quota:

    sum of the reserves' uses in any window   <= reserve
    tokens of the leader used in any window   <= capacity + fill * window
    reserve + capacity + fill * window        <= MARGIN below the bound

The leader keeps `content + outstanding <= capacity`, where `outstanding` is everything that any
entry may still use. Only the fill adds to this sum, and each use lowers it, which gives the second
line for every window.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache

from fulmarhold.clock import SECOND, Milliseconds

# The share of the overage that stays unused. Requests admitted in one window can arrive at the
# upstreams in a slightly shorter one.
MARGIN = 0.05
# The share of the overage that entries may use without a token.
RESERVE_SHARE = 0.5
# Small accounts have little overage and need one request at each of 16 active entries; up to this
# many requests and share of the overage, the reserve takes more than `RESERVE_SHARE`.
SMALL_RESERVE = 18.0
MAX_RESERVE_SHARE = 0.9
# With less capacity, the leader could never grant a token. The fill is lowered instead.
MIN_CAPACITY = 2.0
# Nor could it keep up with the rate: tokens count as outstanding for a report period and a round
# trip after their use.
MIN_CAPACITY_TIME: Milliseconds = 800.0
# The share of the capacity that may be outstanding. The rest is what a new leader may grant while
# it does not know what its predecessor has granted.
MAX_OUTSTANDING_SHARE = 0.85
# The part of the available tokens that an entry is granted at most: if it needs them for a stock,
# and if it needs them for the next requests.
STOCK_PART = 0.25
# The share of `max_outstanding` that stocks may take. The rest is for the next requests.
STOCK_SHARE = 0.8
NEEDED_PART = 0.5


@dataclass(frozen=True)
class QuotaBound:
    """What all accounts may use above their quota in any window of `window` milliseconds."""

    window: Milliseconds = 5_000.0
    overage: float = 0.1
    slack: float = 20.0

    def most_in(self, limit: QuotaLimit, window: Milliseconds) -> float:
        """Return how many requests of an account may run in a window."""
        quota = limit.rate * window / SECOND + limit.burst
        return quota * (1 + self.overage) + self.slack


@dataclass(frozen=True)
class QuotaLimit:
    """The quota of one account: `rate` requests per second, and `burst` more."""

    rate: float
    burst: float = 0.0


@dataclass(frozen=True)
class QuotaParts:
    """How the quota of one account is divided; `fill` is in tokens per millisecond.

    `reserve` is what all entries together may use in a window without a token. `takeover` is the
    capacity of a new leader that does not know yet what its predecessor has granted.
    """

    reserve: float
    capacity: float
    max_outstanding: float
    fill: float

    @property
    def takeover(self) -> float:
        return self.capacity - self.max_outstanding


@lru_cache(maxsize=4_096)
def divide(limit: QuotaLimit, bound: QuotaBound) -> QuotaParts:
    """Divide the quota of an account.

    >>> parts = divide(QuotaLimit(100.0, 50.0), QuotaBound())
    >>> round(parts.reserve, 2), round(parts.capacity, 2), parts.fill
    (35.62, 85.62, 0.1)
    """
    seconds = bound.window / SECOND
    overage = bound.overage * (limit.rate * seconds + limit.burst) + bound.slack
    usable = (1 - MARGIN) * overage
    reserve = max(RESERVE_SHARE * usable, min(MAX_RESERVE_SHARE * usable, SMALL_RESERVE))
    available = limit.burst + usable - reserve
    least = max(MIN_CAPACITY, limit.rate * MIN_CAPACITY_TIME / SECOND)
    capacity = max(available, min(least, limit.rate * seconds + available))
    rate = limit.rate - (capacity - available) / seconds
    return QuotaParts(reserve, capacity, MAX_OUTSTANDING_SHARE * capacity, rate / SECOND)


class Bucket:
    """The leader's tokens of one account: what may be granted, and what entries may still use.

    >>> bucket = Bucket(content=10.0, now=0.0)
    >>> bucket.grant(4, 0, divide(QuotaLimit(100.0), QuotaBound()))
    4
    >>> bucket.content, bucket.outstanding
    (6.0, 4)
    >>> bucket.settle(recorded=4, held=1, unused=1)
    >>> bucket.content, bucket.outstanding
    (7.0, 1)
    """

    def __init__(self, content: float, now: Milliseconds) -> None:
        self.content = content
        self.outstanding = 0
        self._filled_at = now

    @property
    def filled_at(self) -> Milliseconds:
        return self._filled_at

    def fill(self, now: Milliseconds, rate: float, capacity: float) -> None:
        """Add what has accrued; content and outstanding tokens stay within the capacity."""
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = max(now, self._filled_at)
        room = max(0.0, capacity - self.outstanding)
        self.content = min(self.content + rate * elapsed, room)

    def grant(self, needed: int, stock: int, parts: QuotaParts) -> int:
        """Return how many tokens are granted, and record them as outstanding.

        The entry needs some for its next requests, and others for a stock. It gets a part of what
        is available at most, so that some are left for the others that report next.
        """
        room = min(self.content, parts.max_outstanding - self.outstanding)
        granted = int(min(needed, max(NEEDED_PART * room, min(room, 1.0))))
        stock_room = room - (1 - STOCK_SHARE) * parts.max_outstanding - granted
        granted = max(0, granted) + max(0, int(min(stock, STOCK_PART * stock_room)))
        self.content -= granted
        self.outstanding += granted
        return granted

    def spend(self, wanted: int) -> int:
        """Return how many tokens are granted for a reserve, where they count as used."""
        granted = max(0, min(wanted, int(self.content)))
        self.content -= granted
        return granted

    def settle(self, recorded: int, held: int, unused: int) -> None:
        """Record that an entry holds `held` of `recorded` tokens, and never uses `unused`."""
        self.outstanding -= recorded - held
        self.content += unused
