"""Grants tokens of accounts to entries: the leader's side of quotas.

Handles accounts whose requests arrive at many entries, faster than their reserves.

A session holds the tokens of one run of an entry, and expires as a whole. The sum of the content of
a bucket and of all tokens that entries may still use, whichever leader granted them, never exceeds
the capacity. What a new leader may assume follows from that:

- Its predecessor's tokens are valid for `LEASE` after the last moment at which that one led, and
  are at most `max_outstanding`.
- If the predecessor was new itself, its tokens are valid for `NEW_LEASE`, and at most `takeover`.
  The tokens of the leader before it are valid too.

A new leader thus grants nothing for `NEW_LEASE`, and then up to `takeover` with this short validity
until `LEASE` has passed. Its buckets start empty.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from fulmarhold.accounts.bucket import Bucket, QuotaBound, QuotaLimit, QuotaParts, divide
from fulmarhold.clock import Milliseconds

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# How long tokens are valid after the entry asked. Long enough to bridge most elections, and
# less than half of the default window, so that a lower limit is binding one window after it.
LEASE: Milliseconds = 2_000.0
# Two reports, and the round trip to another region.
NEW_LEASE: Milliseconds = 500.0
# How much later the leader ends a session than the entry: a share for clocks that run at different
# speeds, and a fixed part for rounding.
EXPIRY_FACTOR = 1.01
EXPIRY_MARGIN: Milliseconds = 20.0
# How often expired sessions are looked for.
SWEEP_PERIOD: Milliseconds = 200.0
# How many accounts a starting entry is granted tokens of before it has requests of them.
MAX_OPENING_ACCOUNTS = 256
# Ten times what a report of an entry with the usual load contains; later ones contain the rest.
MAX_ITEMS = 512


class ReportItem(NamedTuple):
    """What an entry holds of one account, and has used since the last answered report.

    It asks for the tokens that its next requests need, for a stock, and for what is missing in its
    share of the reserve.
    """

    account: str
    held: int
    used: int
    needed: int
    stock: int = 0
    missing: int = 0


class GrantItem(NamedTuple):
    """How many more tokens of an account are granted, and whether fewer than were needed.

    `restored` tokens are for the entry's share of the reserve. They count as used: the reserve
    has its own place in the bound.
    """

    account: str
    granted: int
    is_short: bool
    restored: int = 0


@dataclass(frozen=True)
class Report:
    """An entry's report; `number` grows by one with each report of one run of the entry.

    `epoch` is that of the leader that granted what is held. `is_opening` is set until a report has
    been answered.
    """

    entry: str
    born: int
    number: int
    epoch: int
    is_opening: bool
    items: tuple[ReportItem, ...]


@dataclass(frozen=True)
class Grant:
    """The answer to a report: all tokens of this epoch are valid for `lease` after it was sent."""

    number: int
    epoch: int
    lease: Milliseconds
    items: tuple[GrantItem, ...]


@dataclass
class _Session:
    number: int = 0
    expires_at: Milliseconds = 0.0
    held: dict[str, int] = field(default_factory=dict)


class QuotaLeases:
    """The buckets and sessions of one leader; `epoch` grows with each leader.

    >>> from dataclasses import replace
    >>> leases = QuotaLeases(1, {"a": QuotaLimit(100.0, 50.0)}, QuotaBound(), led_since=0.0)
    >>> report = Report("entry", 1, 1, 0, True, (ReportItem("a", 0, 0, 10),))
    >>> leases.answer(report, 100.0).items, leases.answer(report, 200.0)
    ((GrantItem(account='a', granted=0, is_short=True, restored=0),), None)
    >>> leases.answer(replace(report, number=2), 10_000.0).items
    (GrantItem(account='a', granted=10, is_short=False, restored=0),)
    """

    def __init__(
        self,
        epoch: int,
        limits: Mapping[str, QuotaLimit],
        bound: QuotaBound,
        led_since: Milliseconds,
    ) -> None:
        self.epoch = epoch
        self._limits = limits
        self._bound = bound
        self._grants_from = led_since + _leader_duration(NEW_LEASE)
        self._full_from = led_since + _leader_duration(LEASE)
        self._buckets: dict[str, Bucket] = {}
        self._sessions: dict[tuple[str, int], _Session] = {}
        self._swept_at = led_since

    @property
    def sessions(self) -> int:
        """The number of entries that may hold tokens."""
        return len(self._sessions)

    @property
    def accounts(self) -> int:
        """The number of accounts that have a bucket."""
        return len(self._buckets)

    @property
    def outstanding(self) -> int:
        """The number of tokens that entries may still use."""
        return sum(bucket.outstanding for bucket in self._buckets.values())

    def use_limits(self, limits: Mapping[str, QuotaLimit], now: Milliseconds) -> None:
        """Apply the limits of a newer configuration."""
        for account, bucket in self._buckets.items():
            # What has accrued until now is due at the previous limit.
            self._fill(account, bucket, now)
        self._limits = limits
        for account, bucket in self._buckets.items():
            self._fill(account, bucket, now)

    def answer(self, report: Report, now: Milliseconds) -> Grant | None:
        """Return what an entry is granted, or `None` for a report that arrives out of order."""
        self._sweep(now)
        key = report.entry, report.born
        session = self._sessions.get(key)
        if session is None:
            session = self._sessions[key] = _Session()
        if report.number <= session.number:
            return None
        session.number = report.number
        granted = [self._answer_item(session, report, item, now) for item in report.items]
        if report.is_opening:
            granted += self._opening_grants(session, report, now)
        lease = LEASE if now >= self._full_from else NEW_LEASE
        session.expires_at = now + _leader_duration(lease)
        return Grant(report.number, self.epoch, lease, tuple(granted))

    def _answer_item(
        self, session: _Session, report: Report, item: ReportItem, now: Milliseconds
    ) -> GrantItem:
        recorded = session.held.pop(item.account, 0)
        # Tokens of another leader, or of a session that has expired, are not in these buckets.
        is_own = report.epoch == self.epoch
        held = min(max(0, item.held), recorded) if is_own else 0
        # Tokens that are neither held nor used were lost with an answer, given back or expired.
        unused = max(0, recorded - held - max(0, item.used)) if is_own else recorded
        bucket = self._bucket(item.account, now)
        if bucket is None:
            return GrantItem(item.account, 0, False)
        bucket.settle(recorded, held, unused)
        self._fill(item.account, bucket, now)
        parts = self._parts(item.account)
        restored = bucket.spend(item.missing)
        granted = bucket.grant(max(0, item.needed), max(0, item.stock), parts)
        if held + granted:
            session.held[item.account] = held + granted
        return GrantItem(item.account, granted, granted < item.needed, restored)

    def _opening_grants(
        self, session: _Session, report: Report, now: Milliseconds
    ) -> Iterable[GrantItem]:
        """Yield tokens of the accounts that other entries have requests of.

        A starting entry otherwise refuses the first requests of each account.
        """
        asked = {item.account for item in report.items}
        for account in session.held.keys() - asked:
            # An earlier answer was lost.
            recorded = session.held.pop(account)
            self._buckets[account].settle(recorded, 0, recorded)
        holders: dict[str, int] = {}
        for other in self._sessions.values():
            for account in other.held:
                holders[account] = holders.get(account, 0) + 1
        for account, count in list(holders.items())[:MAX_OPENING_ACCOUNTS]:
            bucket = self._bucket(account, now)
            if account in asked or bucket is None:
                continue
            self._fill(account, bucket, now)
            average = -(-bucket.outstanding // count)
            granted = bucket.grant(average, 0, self._parts(account))
            if granted:
                session.held[account] = granted
                yield GrantItem(account, granted, False)

    def _bucket(self, account: str, now: Milliseconds) -> Bucket | None:
        """Return the bucket of an account, or `None` if it has no limit."""
        bucket = self._buckets.get(account)
        if bucket is None and account in self._limits:
            # No bucket is kept of an account whose bucket would be full.
            bucket = self._buckets[account] = Bucket(0.0, self._grants_from)
            self._fill(account, bucket, now)
        return bucket

    def _fill(self, account: str, bucket: Bucket, now: Milliseconds) -> None:
        parts = self._parts(account)
        if bucket.filled_at < self._full_from:
            bucket.fill(min(now, self._full_from), parts.fill, parts.takeover)
        if now > self._full_from:
            bucket.fill(now, parts.fill, parts.capacity)

    def _parts(self, account: str) -> QuotaParts:
        limit = self._limits.get(account)
        return QuotaParts(0.0, 0.0, 0.0, 0.0) if limit is None else divide(limit, self._bound)

    def _sweep(self, now: Milliseconds) -> None:
        """End expired sessions, and forget buckets that are full.

        The tokens of an expired session may have been used, so they are not added to the content.
        """
        if now < self._swept_at + SWEEP_PERIOD:
            return
        self._swept_at = now
        for key, session in list(self._sessions.items()):
            if now < session.expires_at:
                continue
            del self._sessions[key]
            for account, held in session.held.items():
                # Whatever has accrued before the end did not have this room.
                self._fill(account, self._buckets[account], now)
                self._buckets[account].settle(held, 0, 0)
        for account, bucket in list(self._buckets.items()):
            self._fill(account, bucket, now)
            is_full = bucket.content >= self._parts(account).capacity
            if not bucket.outstanding and (is_full or account not in self._limits):
                del self._buckets[account]


def _leader_duration(duration: Milliseconds) -> Milliseconds:
    """Return how long the leader waits for something that ends after `duration` at an entry."""
    return EXPIRY_FACTOR * duration + EXPIRY_MARGIN
