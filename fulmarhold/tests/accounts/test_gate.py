"""Requests that find no token at their entry, while the leader may have some."""

from __future__ import annotations

from random import Random

import pytest

from fulmarhold.accounts.account_state import Admitted, QuotaExceeded, QuotaUnknown
from fulmarhold.accounts.bucket import QuotaBound, QuotaLimit
from fulmarhold.accounts.gate import MAX_WAIT, AccountGate
from fulmarhold.accounts.leases import Grant, GrantItem
from fulmarhold.accounts.quota import EXHAUSTED_PERIOD, EntryQuota
from fulmarhold.clock import ManualClock
from fulmarhold.observe.counters import Counters


class ScriptedLeader:
    """Answers each report with a number of tokens, or not at all."""

    def __init__(self, granted: int | None, *, is_short: bool = False) -> None:
        self.granted, self.is_short = granted, is_short
        self.waits: list[float] = []
        self.clock = ManualClock()
        self.quota = EntryQuota("entry", 1, QuotaBound(), Random(1), self.clock.now())
        self.quota.use_limits({"a": QuotaLimit(10.0, 10.0)}, self.clock.now())
        self.gate = AccountGate(self.quota, self.clock, Counters(), self.refresh)

    def refresh(self, timeout):
        self.waits.append(timeout)
        now = self.clock.now()
        report = self.quota.report(now)
        if report is None or self.granted is None:
            return False
        items = (GrantItem("a", self.granted, self.is_short),)
        return self.quota.accept(Grant(report.number, 1, 1_000.0, items), report, now, now)


# Load: all entries restart, and none holds a token of any account. Without the wait, the first
# requests of each account at each entry are refused though the account is far below its quota.
@pytest.mark.parametrize(
    ("leader", "first", "second", "waits"),
    [
        (ScriptedLeader(2), Admitted, Admitted, 1),
        (ScriptedLeader(None), QuotaExceeded, QuotaExceeded, 2),
        # An account beyond its quota is refused at once as soon as the leader has said so.
        (ScriptedLeader(0, is_short=True), QuotaExceeded, QuotaExceeded, 1),
    ],
)
def test_a_request_waits_for_tokens_that_the_leader_may_have(leader, first, second, waits):
    assert isinstance(leader.gate.admit("a"), first)
    leader.clock.advance(25.0)
    assert isinstance(leader.gate.admit("a"), second)
    assert leader.waits == [MAX_WAIT] * waits


# Load: one account asks for more than its quota over many entries, of which each has few requests.
# Without asking again, most of them refuse requests while the leader's bucket fills.
def test_an_account_at_its_limit_is_asked_for_again_after_a_moment():
    leader = ScriptedLeader(0, is_short=True)
    assert isinstance(leader.gate.admit("a"), QuotaExceeded)
    leader.granted, leader.is_short = 1, False
    leader.clock.advance(EXHAUSTED_PERIOD - 1.0)
    assert isinstance(leader.gate.admit("a"), QuotaExceeded)
    leader.clock.advance(1.0)
    assert isinstance(leader.gate.admit("a"), Admitted)
    assert len(leader.waits) == 2


def test_a_request_does_not_wait_without_contact_to_control():
    leader = ScriptedLeader(2)
    leader.clock.advance(10_000.0)
    assert isinstance(leader.gate.admit("a"), QuotaUnknown) and not leader.waits
