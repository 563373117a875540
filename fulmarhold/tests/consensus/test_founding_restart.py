"""Members that are killed between the steps of the founding and start again from their disks."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.consensus.founding import Ballot, FoundingVote, Proposal
from fulmarhold.consensus.messages import KIND_NOOP, AppendRequest, LogEntry
from fulmarhold.consensus.node import FIRST_TERM, Node
from fulmarhold.consensus.storage import FOUNDING_FILE, Storage, StorageFailed
from fulmarhold.tests.consensus.members import Changes

CLUSTER = "cluster"
STEP_SECONDS = 0.2


def start(folder):
    transport: Any = SimpleNamespace(send=lambda *_: None, close=lambda: None)
    node = Node(Storage(folder), transport, Changes(), Clock())
    node.start()
    return node


def accepted_vote(identity):
    voters = {identity: "a", "b1": "b", "c1": "c"}
    ballot = Ballot(1, "b1")
    proposal = Proposal(CLUSTER, voters)
    known = {endpoint: name for name, endpoint in voters.items()}
    return FoundingVote(("a", "b", "c"), known, ballot, ballot, proposal)


def append_request(node, previous, entries):
    term = FIRST_TERM + 1
    return AppendRequest(
        CLUSTER, "b1", node.identity, term, previous, FIRST_TERM, entries, previous, 0.0
    )


def test_a_vote_is_read_back_as_it_was_stored(tmp_path):
    storage = Storage(tmp_path)
    vote = accepted_vote(storage.identity.member)
    storage.store_founding_vote(vote)
    storage.close()
    assert Storage(tmp_path).founding_vote == vote


# Guards against an answer that promises a vote which a full disk has refused.
def test_a_vote_that_can_not_be_stored_is_not_held(tmp_path, monkeypatch):
    storage = Storage(tmp_path)

    def refuse(*_):
        raise OSError("no space left")

    monkeypatch.setattr(storage, "_write_atomically", refuse)
    with pytest.raises(StorageFailed):
        storage.store_founding_vote(accepted_vote(storage.identity.member))
    assert storage.founding_vote is None and not (tmp_path / FOUNDING_FILE).exists()


# Guards against a cluster without any voter that knows the voters, after its founder lost its disk.
def test_a_member_that_accepted_the_founding_joins_with_the_first_entry(tmp_path):
    node = start(tmp_path)
    vote = accepted_vote(node.identity)
    node.store_founding_vote(vote)
    node.receive("b", append_request(node, 1, ()))
    gevent.sleep(STEP_SECONDS)
    assert node.core.members.voters == vote.accepted.voters
    node.stop()
    restarted = start(tmp_path)
    assert restarted.core.members.voters == vote.accepted.voters
    restarted.stop()


# Guards against a log that is damaged when a cluster is joined after a kill while it formed.
def test_a_member_killed_before_its_cluster_is_stored_joins_it_with_a_sound_log(tmp_path):
    node = start(tmp_path)
    vote = accepted_vote(node.identity)
    node.store_founding_vote(vote)
    node.form(CLUSTER, vote.accepted.voters)
    # Nothing has run since, as after a kill: the log is stored and the cluster is not.
    node._storage.close()
    restarted = start(tmp_path)
    assert not restarted.is_formed
    entry = LogEntry(2, FIRST_TERM + 1, KIND_NOOP, b"")
    restarted.receive("b", append_request(restarted, 1, (entry,)))
    gevent.sleep(STEP_SECONDS)
    assert not restarted.failure.ready()
    restarted.stop()
    _, memory = Storage(tmp_path).load()
    assert memory.last_index == 2 and memory.members.voters == vote.accepted.voters


# Guards against a member that accepted a cluster without itself and is then never let in.
def test_a_member_that_accepted_a_founding_without_itself_joins_as_a_learner(tmp_path):
    node = start(tmp_path)
    vote = accepted_vote("a1")
    node.store_founding_vote(replace(vote, known={**vote.known, "a": node.identity}))
    node.receive("b", append_request(node, 0, ()))
    gevent.sleep(STEP_SECONDS)
    assert node.cluster == CLUSTER and node.is_formed
    node.stop()
