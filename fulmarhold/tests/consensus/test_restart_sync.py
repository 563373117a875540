"""A member that was killed between a write and its sync: what it promises later is synced."""

from __future__ import annotations

import os
from types import SimpleNamespace
from typing import Any

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.consensus.memory import pack_members
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
from fulmarhold.consensus.node import Node
from fulmarhold.consensus.output import HardState, Output
from fulmarhold.consensus.storage import LOG_FILE, Storage, StorageFailed

CLUSTER = "c"
TIMEOUT_S = 5
KILLED_TERM = 5


class PageCache:
    """Knows how much of the log survives a loss of power; a process that is killed loses nothing.

    While `is_killed`, a sync never ends for the process that is about to be killed.
    """

    def __init__(self, folder):
        self.path = folder / LOG_FILE
        self.synced_length = 0
        self.is_killed = False

    def sync(self, descriptor):
        if self.is_killed:
            raise OSError("killed")
        status = os.fstat(descriptor)
        if self.path.exists() and status.st_ino == self.path.stat().st_ino:
            self.synced_length = status.st_size

    @property
    def unsynced_bytes(self):
        return self.path.stat().st_size - self.synced_length


@pytest.fixture
def restarted(tmp_path):
    """A member that was killed before it had synced its newest entry and its vote for `c`.

    Yields it with a list of the bytes that were not synced when it sent each of its replies.
    """
    cache = PageCache(tmp_path)
    storage = Storage(tmp_path, cache.sync)
    storage.load()
    storage.join_cluster(CLUSTER)
    own = storage.identity.member
    members = Members({own: "a:1", "b": "b:1", "c": "c:1"}, {})
    first = LogEntry(1, 1, KIND_MEMBERS, pack_members(members))
    storage.write(Output(hard_state=HardState(1), entries=[first]))
    cache.is_killed = True
    newest = LogEntry(2, 1, KIND_COMMAND, b"")
    with pytest.raises(StorageFailed):
        storage.write(Output(hard_state=HardState(KILLED_TERM, "c"), entries=[newest]))
    storage.close()
    cache.is_killed = False
    assert cache.unsynced_bytes > 0
    sent: list[tuple[Any, int]] = []
    transport: Any = SimpleNamespace(
        send=lambda _, message: sent.append((message, cache.unsynced_bytes)), close=lambda: None
    )
    machine: Any = SimpleNamespace(apply=lambda data: data)
    node = Node(Storage(tmp_path, cache.sync), transport, machine, Clock())
    node.start()
    yield node, sent
    node.stop()


def await_reply(sent, accepts):
    """Return how many bytes were not synced when the first accepted reply was sent."""
    with gevent.Timeout(TIMEOUT_S):
        while True:
            for message, unsynced in sent:
                if accepts(message):
                    return unsynced
            gevent.sleep(0.01)


def test_an_entry_that_was_not_synced_before_a_kill_is_synced_before_it_is_acknowledged(restarted):
    # Guards against acknowledging entries that only the page cache holds.
    node, sent = restarted
    heartbeat = AppendRequest(CLUSTER, "b", node.identity, KILLED_TERM, 2, 1, (), 1, 0.0)
    node.receive("b:1", heartbeat)
    unsynced = await_reply(sent, lambda item: isinstance(item, AppendReply) and item.success)
    assert unsynced == 0


def test_a_vote_that_was_not_synced_before_a_kill_is_synced_before_it_is_given(restarted):
    # Guards against a second vote in a term after a loss of power.
    node, sent = restarted
    request = VoteRequest(CLUSTER, "c", node.identity, KILLED_TERM, 9, 1, False, True)
    node.receive("c:1", request)
    unsynced = await_reply(sent, lambda item: isinstance(item, VoteReply) and item.granted)
    assert unsynced == 0
