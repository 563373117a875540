"""The control client while the leader hangs and the other instances still name it."""

from __future__ import annotations

import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.consensus.core import MAX_ELECTION_TIMEOUT
from fulmarhold.control import client
from fulmarhold.control.client import ControlClient
from fulmarhold.control.messages import ClaimGranted, ClaimKey, CommandPending, NotLeading
from fulmarhold.errors import PeerUnavailable, ReplyTimeout
from fulmarhold.observe.counters import Counters
from fulmarhold.questionnaire.derive import MIN_CLAIM_TIMEOUT_MS

OLD, FOLLOWER, NEW = ENDPOINTS = ("old:1", "follower:1", "new:1")
CLAIM = ClaimKey("key", "digest", "attempt", "entry", 0.0)
REPLY_AFTER = 1.0


class Members:
    """Three control instances; the old leader hangs and the others name it until the election."""

    def __init__(self, clock, elected_at):
        self.clock = clock
        self.elected_at = elected_at
        self.hangs = True
        self.calls = []

    def to(self, endpoint):
        return Member(self, endpoint)


class Member:
    def __init__(self, members, endpoint):
        self._members = members
        self._endpoint = endpoint

    def call(self, _, timeout):
        members = self._members
        members.calls.append(self._endpoint)
        if self._endpoint == OLD and members.hangs:
            members.clock.advance(timeout)
            raise ReplyTimeout("no reply in time")
        members.clock.advance(REPLY_AFTER)
        leader = NEW if members.clock.now() >= members.elected_at else OLD
        return ClaimGranted() if self._endpoint == leader else NotLeading(leader)


@pytest.fixture
def clock(monkeypatch):
    clock = ManualClock()
    monkeypatch.setattr(client.gevent, "sleep", lambda seconds: clock.advance(1_000 * seconds))
    return clock


def make_client(monkeypatch, clock, members):
    monkeypatch.setattr(client, "Links", lambda: members)
    return ControlClient(ENDPOINTS, clock, Counters())


@pytest.mark.parametrize("elected_at", [450.0, 701.0, 900.0, 1_200.0])
def test_a_hanging_leader_is_not_called_again_though_others_still_name_it(
    monkeypatch, clock, elected_at
):
    members = Members(clock, elected_at)
    control = make_client(monkeypatch, clock, members)
    assert control.call(CLAIM, MIN_CLAIM_TIMEOUT_MS) == ClaimGranted()
    assert members.calls.count(OLD) == 1
    assert clock.now() < max(client.CALL_TIMEOUT, elected_at) + 4 * client.RETRY_PAUSE


def test_a_leader_that_hung_briefly_is_called_again_if_no_other_was_elected(monkeypatch, clock):
    members = Members(clock, elected_at=float("inf"))
    control = make_client(monkeypatch, clock, members)
    with pytest.raises(PeerUnavailable):
        control.call(CLAIM, MAX_ELECTION_TIMEOUT)
    members.hangs = False
    assert control.call(CLAIM, client.LEADER_AVOIDANCE + MIN_CLAIM_TIMEOUT_MS)


def test_unanswered_for_covers_all_failed_calls_and_is_reset_by_a_reply(monkeypatch, clock):
    members = Members(clock, elected_at=float("inf"))
    control = make_client(monkeypatch, clock, members)
    for _ in range(2):
        with pytest.raises(PeerUnavailable):
            control.call(CLAIM, 500.0)
    assert control.unanswered_for == clock.now()
    members.hangs = False
    clock.advance(client.LEADER_AVOIDANCE)
    control.call(CLAIM, MIN_CLAIM_TIMEOUT_MS)
    assert control.unanswered_for == 0.0


class SlowLeader:
    """A leader that works on a slow disk; the other instances name it."""

    def __init__(self, clock, granted_at):
        self.clock = clock
        self.granted_at = granted_at
        self.calls = []

    def to(self, endpoint):
        self.calls.append(endpoint)
        return self

    def call(self, _, timeout):
        self.clock.advance(400.0)
        return ClaimGranted() if self.clock.now() >= self.granted_at else CommandPending()


def test_a_leader_that_works_on_a_slow_disk_is_waited_for_and_not_avoided(monkeypatch, clock):
    # Load pattern: every sync takes up to 0.9 s, and a claim waits for two of them.
    members = SlowLeader(clock, granted_at=1_800.0)
    control = make_client(monkeypatch, clock, members)
    assert control.call(CLAIM, MIN_CLAIM_TIMEOUT_MS) == ClaimGranted()
    assert set(members.calls) == {OLD}
    assert control.unanswered_for == 0.0


def test_a_claim_that_stays_pending_ends_in_time(monkeypatch, clock):
    members = SlowLeader(clock, granted_at=float("inf"))
    control = make_client(monkeypatch, clock, members)
    with pytest.raises(PeerUnavailable):
        control.call(CLAIM, MIN_CLAIM_TIMEOUT_MS)
    assert clock.now() <= MIN_CLAIM_TIMEOUT_MS + 400.0
