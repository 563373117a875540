"""What an entry decides on a request of an account, and what it knows of the account."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.accounts.demand import Demand
from fulmarhold.accounts.reserve import Reserve
from fulmarhold.clock import Milliseconds

if TYPE_CHECKING:
    from fulmarhold.accounts.bucket import QuotaLimit

# How long the tokens that an entry needs are expected to last: several reports and round trips.
HORIZON: Milliseconds = 1_000.0
# The same with the stock. Bridges an election, and is less than tokens are valid.
STOCK_HORIZON: Milliseconds = 2_200.0
# Fewer requests than this in `HORIZON` need no token in advance.
FEW_REQUESTS = 0.1


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
        self.reported_at = now
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
