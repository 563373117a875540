"""What an entry decides on a request of an account, and what it knows of the account."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.accounts.demand import Demand
from fulmarhold.accounts.leases import ReportItem
from fulmarhold.accounts.reserve import Reserve
from fulmarhold.clock import SECOND, Milliseconds

if TYPE_CHECKING:
    from fulmarhold.accounts.bucket import QuotaLimit

# How long the tokens that an entry needs are expected to last: several reports and round trips.
HORIZON: Milliseconds = 1_000.0
# The same with the stock. Bridges an election, and is less than tokens are valid.
STOCK_HORIZON: Milliseconds = 1_800.0
# Fewer requests than this in `HORIZON` need no token in advance.
FEW_REQUESTS = 0.1
# An entry asks for more when it holds less than this share of what it wants.
LOW_SHARE = 0.75
# An entry gives back what it holds beyond this multiple of what it wants.
HIGH_SHARE = 1.5
# How often an entry reports an account.
REPORT_PERIOD: Milliseconds = 250.0
# Use is reported at least this often: the leader counts tokens as outstanding until then.
USE_PERIOD: Milliseconds = 500.0
# How often the reserve is asked for again after the leader had too few tokens.
UNRESTORED_PERIOD: Milliseconds = 1 * SECOND
# Range of the delay after a refusal: a round trip to the leader of another region at least.
MIN_RETRY_DELAY: Milliseconds = 100.0
MAX_RETRY_DELAY: Milliseconds = 10 * SECOND


@dataclass(frozen=True)
class Admitted:
    """The request is within the quota.

    A token can be given back until a report contains its use (`mark`), and a part of the reserve
    for a short time after it was used (`at`).
    """

    mark: int = -1
    at: Milliseconds = -math.inf


@dataclass(frozen=True)
class QuotaExceeded:
    """The request is beyond the quota; the caller may retry after `retry_after` milliseconds."""

    retry_after: Milliseconds


@dataclass(frozen=True)
class QuotaUnknown:
    """This entry has had no contact with control for too long to know what is left."""

    retry_after: Milliseconds


Admission = Admitted | QuotaExceeded | QuotaUnknown
ADMITTED = Admitted()


@dataclass(frozen=True)
class LimitChange:
    """An account has reached its limit at this entry, or is no longer at it."""

    account: str
    is_limited: bool
    rate: float
    demand: float
    held: int
    refused: int
    contact_age: Milliseconds


class AccountState:
    """What an entry knows of one account that has requests."""

    def __init__(self, limit: QuotaLimit, now: Milliseconds) -> None:
        self.limit = limit
        self.demand = Demand(now)
        self.reserve = Reserve()
        # Tokens of the current leader and of the one before.
        self.held = 0
        self.old_held = 0
        # Tokens used since the last answered report, and how many of them the open report contains.
        self.used = 0
        self.reported_used = 0
        self.reported_at: Milliseconds = -math.inf
        # Grows whenever the use of tokens becomes final.
        self.mark = 0
        # Whether the reserve has to be restored, and the leader had too few tokens for that.
        self.is_reserve_used = False
        self.is_unrestored = False
        # Whether requests were refused since the last report, and although the leader was asked.
        self.is_short = False
        self.is_exhausted = False
        self.refused_at: Milliseconds = -math.inf
        self.refused = 0
        self.is_limited = False

    @property
    def total(self) -> int:
        """All tokens, whichever leader granted them."""
        return self.held + self.old_held

    def drop_tokens(self) -> None:
        """Drop all tokens."""
        self.held = self.old_held = 0
        self.mark += 1

    def level(self, now: Milliseconds, horizon: Milliseconds = HORIZON) -> int:
        """Return how many tokens the expected requests need in addition to the reserve."""
        expected = self.demand.rate(now) * horizon
        if expected < FEW_REQUESTS:
            return 0
        spare = 0 if self.is_exhausted else 1
        return max(0, math.ceil(expected) + spare - int(self.reserve.content))

    def is_due(self, now: Milliseconds) -> bool:
        """Whether the next report has to contain this account."""
        use_period = REPORT_PERIOD if self.is_exhausted else USE_PERIOD
        return (
            (self.is_reserve_used and not self.is_unrestored)
            or (self.is_unrestored and now >= self.reported_at + UNRESTORED_PERIOD)
            or self.total < LOW_SHARE * self.level(now)
            or self.held > HIGH_SHARE * self.level(now, STOCK_HORIZON)
            or (self.used > 0 and now >= self.reported_at + use_period)
        )

    def report(self, name: str, missing: int, now: Milliseconds) -> ReportItem:
        """Return what is reported, where `missing` is what the reserve can take."""
        level, stock = self.level(now), self.level(now, STOCK_HORIZON)
        if self.held > HIGH_SHARE * stock:
            self.held = stock
        # What the reserve gets is not needed in addition.
        needed = max(int(self.is_short and not missing), level - self.total - missing)
        stock = max(0, stock - max(level, self.total))
        self.is_short = self.is_reserve_used = self.is_unrestored = False
        self.mark += 1
        self.reported_used = self.used
        self.reported_at = now
        return ReportItem(name, self.held, self.used, needed, stock, missing)

    def retry_delay(self, now: Milliseconds) -> Milliseconds:
        """Return how long a caller should wait: requests beyond the rate wait for each other."""
        rate = self.limit.rate / SECOND
        excess = max(0.0, self.demand.rate(now) - rate)
        delay = max(MIN_RETRY_DELAY, 1 / rate, SECOND * excess / rate)
        return min(delay, MAX_RETRY_DELAY)

    def change(self, name: str, now: Milliseconds, contact_at: Milliseconds) -> LimitChange:
        """Return the event that the account has reached its limit or has left it."""
        return LimitChange(
            name,
            self.is_limited,
            self.limit.rate,
            self.demand.rate(now) * SECOND,
            self.total,
            self.refused,
            now - contact_at,
        )
