"""Members on a slow, hanging or full disk: they stay up, and promise only what is stored."""

from __future__ import annotations

import contextlib
import itertools
import sys
import threading
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from gevent.event import Event

from fulmarhold.clock import SECOND, Clock
from fulmarhold.consensus import node as node_module
from fulmarhold.consensus.core import HEARTBEAT_PERIOD, MIN_ELECTION_TIMEOUT, NotLeader
from fulmarhold.consensus.memory import MemoryLog, pack_members
from fulmarhold.consensus.messages import (
    KIND_COMMAND,
    KIND_MEMBERS,
    AppendReply,
    AppendRequest,
    LogEntry,
    Members,
    VoteReply,
    VoteRequest,
)
from fulmarhold.consensus.node import Node, OutcomeUnknown
from fulmarhold.consensus.output import HardState
from fulmarhold.consensus.storage import EMPTY_SNAPSHOT, StorageFailed

CLUSTER = "c"
MEMBERS = Members({name: f"{name}:1" for name in "abc"}, {})
FIRST = LogEntry(1, 1, KIND_MEMBERS, pack_members(MEMBERS))
TIMEOUT_S = 10


class FakeStorage:
    """A fake storage whose syncs can be blocked."""

    is_compaction_due = False

    def __init__(self):
        self.identity = SimpleNamespace(member="a", cluster=CLUSTER)
        self.may_sync = threading.Event()
        self.may_sync.set()

    def load(self):
        return HardState(1), MemoryLog(EMPTY_SNAPSHOT, (FIRST,))

    def write(self, output):
        self.may_sync.wait()

    def close(self):
        pass


class FakeFollowers:
    """A fake transport to two members that vote for `a` and acknowledge its requests."""

    def __init__(self):
        self.node: Any = None
        self.heartbeats = []
        self.heard = Event()

    def send(self, endpoint, message):
        match message:
            case VoteRequest():
                reply: Any = VoteReply(
                    CLUSTER, message.recipient, "a", message.term, message.trial, True
                )
            case AppendRequest():
                if not message.entries:
                    self.heartbeats.append(message.sent_at)
                index = message.previous_index + len(message.entries)
                reply = AppendReply(
                    CLUSTER, message.recipient, "a", message.term, True, index, message.sent_at
                )
            case _:
                return
        gevent.spawn(self.node.receive, endpoint, reply)

    def close(self):
        pass


@pytest.fixture
def leader():
    disk: Any = FakeStorage()
    followers: Any = FakeFollowers()
    machine: Any = SimpleNamespace(apply=lambda data: data)
    node = followers.node = Node(disk, followers, machine, Clock())
    node.start()
    with gevent.Timeout(TIMEOUT_S):
        while not (node.core.is_leader and node.core.has_committed_in_term):
            gevent.sleep(0.01)
    yield node, disk, followers
    disk.may_sync.set()
    node.stop()


def propose_while_blocked(node, disk, duration):
    """Block the disk and propose; returns the proposal's greenlet after `duration` ms."""
    disk.may_sync.clear()
    proposal = gevent.spawn(node.propose, b"command")
    gevent.sleep(duration / SECOND)
    return proposal


def test_a_leader_sends_heartbeats_during_a_slow_sync_and_stays_leader(leader):
    node, disk, followers = leader
    blocked_for = 2 * MIN_ELECTION_TIMEOUT
    followers.heartbeats.clear()
    proposal = propose_while_blocked(node, disk, blocked_for)
    sent = list(followers.heartbeats)
    assert max(b - a for a, b in itertools.pairwise(sent)) < MIN_ELECTION_TIMEOUT
    assert len(set(sent)) > blocked_for / HEARTBEAT_PERIOD / 2
    disk.may_sync.set()
    assert proposal.get(timeout=TIMEOUT_S) == b"command"
    assert node.core.is_leader


def test_a_leader_whose_disk_hangs_stops_its_heartbeats(leader, monkeypatch):
    monkeypatch.setattr(node_module, "MAX_SYNC_DURATION", 3 * HEARTBEAT_PERIOD)
    node, disk, followers = leader
    propose_while_blocked(node, disk, 6 * HEARTBEAT_PERIOD)
    followers.heartbeats.clear()
    gevent.sleep(MIN_ELECTION_TIMEOUT / SECOND)
    assert followers.heartbeats == []


class FullStderr:
    """A standard error stream on a full disk."""

    def write(self, _):
        raise OSError("File too large")

    def flush(self):
        raise OSError("File too large")


def wait_until(condition, what):
    with gevent.Timeout(TIMEOUT_S, AssertionError(f"waited in vain until {what}")):
        while not condition():
            gevent.sleep(0.01)


def test_a_leader_on_a_full_disk_steps_down_stays_up_and_leads_again(leader, monkeypatch):
    node, disk, _ = leader
    write = disk.write

    def fail_to_sync(output):
        raise StorageFailed("can't sync the log", step="syncing")

    # The thread pool prints uncaught exceptions, which fails too if the output is on that disk.
    monkeypatch.setattr(sys, "stderr", FullStderr())
    disk.write = fail_to_sync
    proposal = gevent.spawn(node.propose, b"command")
    wait_until(lambda: not node.can_store and not node.core.is_leader, "the leader steps down")
    # Either the followers had stored it before the leader stepped down, or nobody can tell.
    with contextlib.suppress(OutcomeUnknown):
        assert proposal.get(timeout=TIMEOUT_S) == b"command"
    assert not node.failure.ready()
    disk.write = write
    wait_until(lambda: node.can_store and node.core.has_committed_in_term, "it leads again")
    assert node.propose(b"next") == b"next"


def append(first, last, commit, term=1, sent_at=0.0):
    entries = tuple(LogEntry(n, term, KIND_COMMAND, b"%d" % n) for n in range(first, last + 1))
    return AppendRequest(CLUSTER, "b", "a", term, first - 1, 1, entries, commit, sent_at)


class SentMessages:
    """A fake transport that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, endpoint, message):
        self.sent.append(message)

    def close(self):
        pass

    def acknowledged(self):
        return [item.match_index for item in self.sent if isinstance(item, AppendReply)]


@pytest.fixture
def follower():
    applied: list[bytes] = []
    disk: Any = FakeStorage()
    transport: Any = SentMessages()
    machine: Any = SimpleNamespace(apply=applied.append, save=lambda: b"".join(applied))
    node = Node(disk, transport, machine, Clock())
    node.start()
    yield node, disk, transport, applied
    disk.may_sync.set()
    node.stop()


@pytest.mark.parametrize("trouble", ["slow", "full"])
def test_a_follower_applies_commits_and_acknowledges_only_what_it_has_stored(follower, trouble):
    node, disk, transport, applied = follower
    node.receive("b:1", append(2, 2, commit=1))
    wait_until(lambda: 2 in transport.acknowledged(), "the first entry is acknowledged")
    write = disk.write
    if trouble == "slow":
        disk.may_sync.clear()
    else:
        disk.write = fail_with(StorageFailed("no space left", step="syncing"))
    transport.sent.clear()
    node.receive("b:1", append(3, 4, commit=2))
    node.receive("b:1", append(5, 5, commit=5))
    gevent.sleep(2 * HEARTBEAT_PERIOD / SECOND)
    node.receive("b:1", append(6, 5, commit=5, sent_at=7.0))
    wait_until(transport.acknowledged, "a heartbeat is acknowledged")
    assert set(transport.acknowledged()) == {2}
    assert applied == [b"2", b"3", b"4", b"5"], "commits of the majority are applied"
    node.receive("c:1", VoteRequest(CLUSTER, "c", "a", 2, 9, 1, False, True))
    gevent.sleep(2 * HEARTBEAT_PERIOD / SECOND)
    granted = [item for item in transport.sent if isinstance(item, VoteReply) and item.granted]
    assert not granted, "a vote that can't be stored is not given"
    disk.write = write
    disk.may_sync.set()
    if trouble == "full":
        node.receive("b:1", append(6, 5, commit=5, sent_at=8.0))
        wait_until(lambda: 5 in transport.acknowledged(), "everything is acknowledged")
    else:
        wait_until(
            lambda: any(isinstance(item, VoteReply) and item.granted for item in transport.sent),
            "the vote is given once it is stored",
        )
    assert not node.failure.ready()


@pytest.fixture
def saving(follower):
    """A follower that starts a log segment, which `started` notes and `may_start` ends."""
    node, disk, _, _ = follower
    started, may_start = threading.Event(), threading.Event()

    def start_segment(index, entries):
        started.set()
        may_start.wait()
        disk.is_compaction_due = False

    disk.start_segment = start_segment
    disk.save_snapshot = lambda snapshot: None
    disk.drop_covered = lambda: None
    disk.covered_index = 0
    disk.is_compaction_due = True
    yield node, disk, started, may_start
    may_start.set()


def test_a_member_votes_again_after_it_was_slow_to_start_a_log_segment(saving, monkeypatch):
    # Guards against a member that never votes again, as only a later write would allow it to.
    monkeypatch.setattr(node_module, "MAX_SYNC_DURATION", HEARTBEAT_PERIOD)
    node, _, started, may_start = saving
    node.receive("b:1", append(2, 2, commit=2))
    wait_until(started.is_set, "the segment is started")
    gevent.sleep(3 * HEARTBEAT_PERIOD / SECOND)
    may_start.set()
    wait_until(lambda: node.core.log.snapshot.index == 2, "the snapshot is saved")
    node.receive("c:1", VoteRequest(CLUSTER, "c", "a", 2, 9, 1, False, True))
    wait_until(lambda: node.core.hard_state.voted_for == "c", "the vote is given")


@pytest.mark.parametrize("operation", ["write", "start_segment", "save_snapshot"])
def test_an_unexpected_error_while_storing_ends_the_member(saving, operation):
    # Guards against a member that waits for ever for a write whose thread has failed.
    node, disk, _, may_start = saving
    may_start.set()

    def fail(*_):
        raise ValueError("unexpected")

    setattr(disk, operation, fail)
    node.receive("b:1", append(2, 2, commit=2))
    wait_until(node.failure.ready, "the member ends")
    assert isinstance(node.failure.exception, ValueError)


def test_a_snapshot_that_can_not_be_saved_is_tried_again_after_a_pause(saving, monkeypatch):
    # Guards against encoding and writing a snapshot in each step while the disk is full.
    monkeypatch.setattr(node_module, "SNAPSHOT_RETRY_PERIOD", 5 * HEARTBEAT_PERIOD)
    node, disk, _, may_start = saving
    may_start.set()
    attempts = []

    def fail(index, entries):
        attempts.append(index)
        raise StorageFailed("no space left", step="syncing")

    start_segment, disk.start_segment = disk.start_segment, fail
    node.receive("b:1", append(2, 2, commit=2))
    wait_until(lambda: attempts, "a snapshot is tried")
    gevent.sleep(4 * HEARTBEAT_PERIOD / SECOND)
    assert len(attempts) == 1
    disk.start_segment = start_segment
    wait_until(lambda: node.core.log.snapshot.index == 2, "the snapshot is saved")


class RecordingStorage(FakeStorage):
    """A fake storage that knows the highest entry that survives a power loss."""

    def __init__(self):
        super().__init__()
        self.last_synced = FIRST.index

    def write(self, output):
        super().write(output)
        for entry in output.entries:
            self.last_synced = entry.index


class CheckedMessages(SentMessages):
    """A fake transport that notes acknowledgements of entries that are not synced."""

    def __init__(self, disk):
        super().__init__()
        self._disk = disk
        self.early = []

    def send(self, endpoint, message):
        super().send(endpoint, message)
        if isinstance(message, AppendReply) and message.match_index > self._disk.last_synced:
            self.early.append((message.match_index, self._disk.last_synced))


def test_entries_that_arrive_as_a_write_ends_are_acknowledged_only_once_they_are_stored():
    # Guards against counting entries as stored that are received in the step that ends a write.
    disk: Any = RecordingStorage()
    transport: Any = CheckedMessages(disk)
    machine: Any = SimpleNamespace(apply=lambda data: data)
    node = Node(disk, transport, machine, Clock())
    node.start()
    last = 81
    try:
        for index in range(2, last, 2):
            disk.may_sync.clear()
            node.receive("b:1", append(index, index, commit=1))
            gevent.sleep(0.01)
            disk.may_sync.set()
            # Repeats a message in each round of the event loop, so that the last one before the
            # write's end is handled together with it.
            with gevent.Timeout(TIMEOUT_S):
                while disk.last_synced < index + 1:
                    node.receive("b:1", append(index + 1, index + 1, commit=1))
                    gevent.sleep(0)
        wait_until(lambda: last in transport.acknowledged(), "all entries are acknowledged")
    finally:
        node.stop()
    assert transport.early == []


def fail_with(error):
    def write(output):
        raise error

    return write


def test_a_snapshot_that_is_slow_to_save_delays_neither_commits_nor_acknowledgements(follower):
    node, disk, transport, applied = follower
    saving, may_save = threading.Event(), threading.Event()

    def save_snapshot(snapshot):
        saving.set()
        may_save.wait()

    disk.start_segment = lambda index, entries: None
    disk.save_snapshot = save_snapshot
    disk.drop_covered = lambda: None
    disk.covered_index = 0
    disk.is_compaction_due = True
    try:
        node.receive("b:1", append(2, 4, commit=4))
        wait_until(saving.is_set, "the snapshot is being saved")
        disk.is_compaction_due = False
        node.receive("b:1", append(5, 6, commit=6))
        wait_until(lambda: 6 in transport.acknowledged(), "later entries are acknowledged")
        assert applied[-1] == b"6"
        assert node.core.log.snapshot.index == 0
    finally:
        may_save.set()
    wait_until(lambda: node.core.log.snapshot.index == 4, "the snapshot is adopted")


# Guards against callers that wait for a decision until their connection is cut.
def test_open_proposals_end_when_the_member_stops_on_a_slow_disk(leader):
    node, disk, followers = leader
    followers.send = lambda endpoint, message: None
    proposal = propose_while_blocked(node, disk, 2 * HEARTBEAT_PERIOD)
    assert not proposal.ready()
    node.stop()
    with pytest.raises(OutcomeUnknown):
        proposal.get(timeout=TIMEOUT_S)
    with pytest.raises(NotLeader):
        node.propose(b"late")
