"""A leader keeps its leadership while a sync is slow, and gives it up when the disk hangs."""

from __future__ import annotations

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
from fulmarhold.consensus.core import HEARTBEAT_PERIOD, MIN_ELECTION_TIMEOUT
from fulmarhold.consensus.memory import MemoryLog, pack_members
from fulmarhold.consensus.messages import (
    KIND_MEMBERS,
    AppendReply,
    AppendRequest,
    LogEntry,
    Members,
    VoteReply,
    VoteRequest,
)
from fulmarhold.consensus.node import Node
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

    def write(self, output, memory):
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


def test_a_node_with_a_full_disk_fails_even_if_stderr_is_not_writable(leader, monkeypatch):
    node, disk, _ = leader

    def fail_to_sync(output, memory):
        raise StorageFailed("can't sync the log", step="syncing")

    monkeypatch.setattr(sys, "stderr", FullStderr())
    disk.write = fail_to_sync
    gevent.spawn(node.propose, b"command")
    with gevent.Timeout(TIMEOUT_S, AssertionError("the node neither continues nor fails")):
        node.failure.wait()
    assert isinstance(node.failure.exception, StorageFailed)
