"""Decides whose work gives way when an entry or an upstream is short of room.

Load: one account floods while others send as usual; many small accounts beside a large one; a
background burst beside urgent work; all entries restart in a flood and know no usual demand yet.

Urgency comes first. Among accounts, the demand above what an account usually sends gives way before
that of others, so that the excess of one account affects that account first. The usual demand is
learned while there is room: a flood that causes a shortage doesn't become usual while it lasts. If
all accounts send more than usual, none of them stands out and all are treated alike.

While there is room, nothing is decided here, and without accounts requests belong to no flow.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from fulmarhold.clock import SECOND

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Milliseconds

# Demand and service are averaged over this time: long enough for the chance of an account with a
# few requests a second, short enough for bursts of some seconds.
RECENT_TIME: Milliseconds = 2 * SECOND
# The usual demand follows the recent one this slowly.
USUAL_TIME: Milliseconds = 20 * SECOND
# After this time an account without a quota is known well enough, and a shortage stops the
# learning.
LEARNING_TIME: Milliseconds = 10 * SECOND
# For how long room counts as short after it was.
SHORTAGE_TIME: Milliseconds = 1 * SECOND
# Demand up to this multiple of the usual, relative to other accounts, is no excess.
USUAL_VARIATION = 1.5
# Small accounts vary by more, in requests per second.
USUAL_SLACK = 2.0
# Keeps small accounts from being judged by a few requests.
WEIGHT_SLACK = 1.0
# An account counts towards the average from this share of its usual demand.
ACTIVE_SHARE = 0.05
AVERAGE_PERIOD: Milliseconds = 100.0
# The part of the room of other accounts that is left to the most excessive demand.
MIN_ROOM_SHARE = 0.5


class _Rate:
    """A moving average of events per second."""

    __slots__ = ("_time", "_updated_at", "_value")

    def __init__(self, time: Milliseconds) -> None:
        self._time = time
        self._value = 0.0
        self._updated_at: Milliseconds = 0.0

    def add(self, now: Milliseconds) -> None:
        self._value = self.at(now) + SECOND / self._time
        self._updated_at = now

    def at(self, now: Milliseconds) -> float:
        return self._value * math.exp(min(0.0, self._updated_at - now) / self._time)


class _Account:
    """What one account has asked for, has got, and usually asks for, in requests per second."""

    __slots__ = ("_entries", "_learned_at", "_quota", "_seen_at", "demand", "name", "served",
                 "usual")  # fmt: skip

    def __init__(self, name: str, quota: float, entries: int) -> None:
        self.name = name
        # Of all entries together, zero if it has none.
        self._quota = quota
        self._entries = entries
        self.demand = _Rate(RECENT_TIME)
        self.served = _Rate(RECENT_TIME)
        self.usual = 0.0
        self._seen_at: Milliseconds | None = None
        self._learned_at: Milliseconds = 0.0

    @property
    def weight(self) -> float:
        return max(self.usual, self._quota / self._entries) + WEIGHT_SLACK

    def set_quota(self, quota: float, entries: int) -> None:
        """Set the quota and the number of entries that share it."""
        self._quota, self._entries = quota, entries

    def learn(self, now: Milliseconds, *, is_short: bool) -> None:
        """Let the usual demand follow the recent one, which is not done while room is short."""
        if self._seen_at is None:
            self._seen_at = self._learned_at = now
        elapsed, self._learned_at = now - self._learned_at, now
        # Right after a start, an average over the time so far is all that is known.
        age = now - self._seen_at
        if is_short and (self._quota or age > LEARNING_TIME):
            return
        share = 1 - math.exp(-elapsed / max(AVERAGE_PERIOD, min(age, USUAL_TIME)))
        self.usual += share * (self.demand.at(now) - self.usual)
        if self._quota:
            # More than that is no usual demand, even if all of it comes to this entry.
            self.usual = min(self.usual, self._quota)


class Flow:
    """What a request belongs to when room is short: an account, and its priority there."""

    __slots__ = ("_account", "_shares", "rank")

    def __init__(self, shares: FairShares, account: _Account, rank: int) -> None:
        self._shares = shares
        self._account = account
        self.rank = rank

    @property
    def account(self) -> str:
        return self._account.name

    @property
    def weight(self) -> float:
        """The usual demand of the account in requests per second."""
        return self._account.weight

    def demand(self, now: Milliseconds) -> float:
        """Return what the account asked for recently, in requests per second."""
        return self._account.demand.at(now)

    def note_sent(self, now: Milliseconds) -> None:
        """Record that an upstream serves the request."""
        self._account.served.add(now)
        self._shares.note_sent(now)

    def served(self, now: Milliseconds) -> float:
        """Return what the account got recently, relative to its usual demand."""
        return self._account.served.at(now) / self._account.weight

    def room_share(self, now: Milliseconds) -> float:
        """Return the part of scarce room that the request may use: 1, or less for an excess."""
        return MIN_ROOM_SHARE + (1 - MIN_ROOM_SHARE) * self._shares.inside_share(self._account, now)

    def is_excess(self, now: Milliseconds) -> bool:
        """Whether the account asks for more than usual, compared with others."""
        return self._shares.inside_share(self._account, now) < 1

    def note_shortage(self, now: Milliseconds) -> None:
        """Record that there was no room for the request."""
        self._shares.note_shortage(now)


class FairShares:
    """The recent and the usual demand of the accounts of one entry.

    >>> shares = FairShares()
    >>> shares.use([("small", 0.0), ("large", 0.0)])
    >>> for moment in range(0, 30_000, 100):
    ...     small, large = shares.flow("small", 0, moment), shares.flow("large", 0, moment)
    >>> for moment in range(30_000, 32_000, 10):
    ...     shares.note_shortage(moment)
    ...     flood = shares.flow("small", 0, moment)
    >>> flood.is_excess(32_000), large.is_excess(32_000)
    (True, False)
    """

    def __init__(self) -> None:
        self._rates: dict[str, float] | None = None
        self._entries = 1
        self._accounts: dict[str, _Account] = {}
        self._short_until: Milliseconds = float("-inf")
        self._drained = _Rate(RECENT_TIME)
        self._averaged_at: Milliseconds = float("-inf")
        self._total_demand = 0.0
        self._total_weight = 0.0

    def use(self, rates: Iterable[tuple[str, float]] | None) -> None:
        """Use the accounts of a configuration with their quotas, or none if it has none."""
        self._rates = None if rates is None else dict(rates)
        known = {"", *(self._rates or ())}
        self._accounts = {name: item for name, item in self._accounts.items() if name in known}
        self._set_rates()

    def share(self, entries: int) -> None:
        """Set how many entries share the quotas."""
        self._entries = max(1, entries)
        self._set_rates()

    def flow(self, account: str, rank: int, now: Milliseconds) -> Flow | None:
        """Record a request and return its flow, or `None` without accounts.

        `account` is empty for requests that need none; these count as one account.
        """
        if self._rates is None:
            return None
        if account not in self._rates:
            account = ""
        known = self._accounts.get(account)
        if known is None:
            quota = self._rates.get(account, 0.0)
            known = self._accounts[account] = _Account(account, quota, self._entries)
        known.demand.add(now)
        known.learn(now, is_short=now < self._short_until)
        return Flow(self, known, rank)

    def note_sent(self, now: Milliseconds) -> None:
        """Record that an upstream serves a request."""
        self._drained.add(now)

    def drained_per_second(self, now: Milliseconds) -> float:
        """Return how many requests upstreams took recently."""
        return self._drained.at(now)

    def note_shortage(self, now: Milliseconds) -> None:
        """Record that there was no room for a request."""
        self._short_until = now + SHORTAGE_TIME

    def inside_share(self, account: _Account, now: Milliseconds) -> float:
        """Return the part of an account's demand that is no excess compared with the others'."""
        if not self._averaged_at <= now < self._averaged_at + AVERAGE_PERIOD:
            self._average(now)
        demand, weight = account.demand.at(now), account.weight
        others = max(0.0, self._total_weight - weight)
        level = max(0.0, self._total_demand - demand) / others if others else float("inf")
        allowed = USUAL_VARIATION * weight * max(1.0, level) + USUAL_SLACK
        return 1.0 if demand <= allowed else allowed / demand

    def _average(self, now: Milliseconds) -> None:
        self._averaged_at = now
        self._total_demand = self._total_weight = 0.0
        for item in self._accounts.values():
            demand = item.demand.at(now)
            if demand >= ACTIVE_SHARE * item.weight:
                self._total_demand += demand
                self._total_weight += item.weight

    def _set_rates(self) -> None:
        for name, item in self._accounts.items():
            item.set_quota((self._rates or {}).get(name, 0.0), self._entries)
