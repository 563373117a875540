"""A leader whose disk is slow keeps its followers, and one whose disk hangs loses them."""

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
PATIENCE_S = 10


class Disk:
    """A storage whose syncs can be held up."""

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


class Followers:
    """Two members that vote for `a` and acknowledge what it sends."""

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
    disk: Any = Disk()
    followers: Any = Followers()
    machine: Any = SimpleNamespace(apply=lambda data: data)
    node = followers.node = Node(disk, followers, machine, Clock())
    node.start()
    with gevent.Timeout(PATIENCE_S):
        while not (node.core.is_leader and node.core.has_settled):
            gevent.sleep(0.01)
    yield node, disk, followers
    disk.may_sync.set()
    node.stop()


def hold_up(node, disk, duration):
    """Propose while the disk syncs nothing for `duration` ms; returns the proposal's greenlet."""
    disk.may_sync.clear()
    proposal = gevent.spawn(node.propose, b"command")
    gevent.sleep(duration / SECOND)
    return proposal


def test_a_leader_sends_heartbeats_while_its_disk_syncs_and_goes_on_leading(leader):
    node, disk, followers = leader
    held_for = 2 * MIN_ELECTION_TIMEOUT
    followers.heartbeats.clear()
    proposal = hold_up(node, disk, held_for)
    sent = list(followers.heartbeats)
    assert max(b - a for a, b in itertools.pairwise(sent)) < MIN_ELECTION_TIMEOUT
    assert len(set(sent)) > held_for / HEARTBEAT_PERIOD / 2
    disk.may_sync.set()
    assert proposal.get(timeout=PATIENCE_S) == b"command"
    assert node.core.is_leader


def test_a_leader_whose_disk_hangs_falls_silent(leader, monkeypatch):
    monkeypatch.setattr(node_module, "LONGEST_SYNC", 3 * HEARTBEAT_PERIOD)
    node, disk, followers = leader
    hold_up(node, disk, 6 * HEARTBEAT_PERIOD)
    followers.heartbeats.clear()
    gevent.sleep(MIN_ELECTION_TIMEOUT / SECOND)
    assert followers.heartbeats == []


class FullDevice:
    """A standard error whose disk is full as well."""

    def write(self, _):
        raise OSError("File too large")

    def flush(self):
        raise OSError("File too large")


def test_a_member_whose_disk_is_full_ends_though_it_can_not_say_so(leader, monkeypatch):
    node, disk, _ = leader

    def refuse(output, memory):
        raise StorageFailed("can't sync the log", step="syncing")

    monkeypatch.setattr(sys, "stderr", FullDevice())
    disk.write = refuse
    gevent.spawn(node.propose, b"command")
    with gevent.Timeout(PATIENCE_S, AssertionError("it neither takes part nor ends")):
        node.failure.wait()
    assert isinstance(node.failure.exception, StorageFailed)
