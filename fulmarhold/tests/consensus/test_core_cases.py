"""Unit tests of the Raft core: each fails if the rule that it covers is removed."""

from __future__ import annotations

from random import Random

import pytest

from fulmarhold.consensus.core import (
    HEARTBEAT_PERIOD,
    LEADER_LEASE,
    MIN_ELECTION_TIMEOUT,
    MembershipRefused,
    NotLeader,
    RaftCore,
)
from fulmarhold.consensus.memory import MemoryLog, pack_members
from fulmarhold.consensus.messages import (
    KIND_COMMAND,
    KIND_MEMBERS,
    AppendReply,
    AppendRequest,
    LogEntry,
    Members,
    Snapshot,
    SnapshotRequest,
    TakeOver,
    VoteReply,
    VoteRequest,
    protocol_violation,
)
from fulmarhold.consensus.output import HardState
from fulmarhold.consensus.storage import EMPTY_SNAPSHOT

NAMES = ("a", "b", "c")
MEMBERS = Members({name: name for name in NAMES}, {})
FIRST = LogEntry(1, 1, KIND_MEMBERS, pack_members(MEMBERS))


def make_core(name="a", entries=(FIRST,), now=0.0):
    return RaftCore(name, "c", MemoryLog(EMPTY_SNAPSHOT, entries), HardState(1), Random(1), now)


def vote_request(term=2, *, trial=False, transfer=False, last=(1, 1), sender="b"):
    last_term, last_index = last
    return VoteRequest("c", sender, "a", term, last_index, last_term, trial, transfer)


def replies(core, kind):
    return [item for item in core.take_output().messages if isinstance(item, kind)]


def elect(core, now=5_000.0):
    """Make `a` the leader with the pre-vote and the vote of `b`."""
    core.tick(now)
    term = core.term + 1
    core.receive(VoteReply("c", "b", "a", term, True, True), now)
    core.receive(VoteReply("c", "b", "a", term, False, True), now)
    assert core.is_leader
    core.take_output()
    core.note_stored(core.log.last_index, now)


def acknowledge(core, index, sent_at, sender="b"):
    core.note_stored(core.log.last_index, sent_at)
    core.receive(AppendReply("c", sender, "a", core.term, True, index, sent_at), sent_at)


@pytest.mark.parametrize(
    ("after", "granted"),
    [(MIN_ELECTION_TIMEOUT - 1, False), (MIN_ELECTION_TIMEOUT + 1, True)],
)
def test_a_restarted_member_withholds_its_vote_for_the_minimum_election_timeout(after, granted):
    core = make_core(now=100.0)
    core.receive(vote_request(), 100.0 + after)
    assert [reply.granted for reply in replies(core, VoteReply)] == [granted]


@pytest.mark.parametrize("trial", [True, False])
def test_a_member_with_a_live_leader_denies_its_vote(trial):
    core = make_core()
    core.receive(AppendRequest("c", "c", "a", 1, 1, 1, (), 1, 5_000.0), 5_000.0)
    core.take_output()
    core.receive(vote_request(trial=trial), 5_000.0 + MIN_ELECTION_TIMEOUT - 1)
    assert [reply.granted for reply in replies(core, VoteReply)] == [False]
    assert core.term == 1, "a vote request of a partitioned member must not raise the term"


def test_two_members_that_campaign_at_once_do_not_split_the_vote():
    # Guards against a second election timeout without a leader, e.g. while the third disk is full.
    cores = {name: make_core(name) for name in ("b", "c")}
    for core in cores.values():
        core.tick(5_000.0)
    for _ in range(4):
        messages = [item for core in cores.values() for item in core.take_output().messages]
        for message in messages:
            if message.recipient in cores:
                cores[message.recipient].receive(message, 5_010.0)
    assert [name for name, core in cores.items() if core.is_leader] == ["b"]


def test_a_leadership_transfer_does_not_wait_for_the_lease():
    core = make_core()
    core.receive(AppendRequest("c", "c", "a", 1, 1, 1, (), 1, 5_000.0), 5_000.0)
    core.receive(vote_request(transfer=True), 5_001.0)
    assert replies(core, VoteReply)[-1].granted


@pytest.mark.parametrize(
    ("last", "granted"), [((1, 1), False), ((1, 2), True), ((2, 1), True), ((0, 9), False)]
)
def test_a_vote_is_granted_only_to_an_up_to_date_log(last, granted):
    core = make_core(entries=(FIRST, LogEntry(2, 1, KIND_COMMAND, b"x")))
    core.receive(vote_request(last=last), 5_000.0)
    assert replies(core, VoteReply)[-1].granted is granted


def test_a_vote_is_persisted_and_granted_once_per_term():
    core = make_core()
    core.receive(vote_request(sender="b"), 5_000.0)
    output = core.take_output()
    assert output.hard_state == HardState(2, "b")
    core.receive(vote_request(sender="c"), 5_000.0)
    assert not replies(core, VoteReply)[-1].granted


def test_an_entry_of_an_older_term_commits_only_with_one_of_the_current_term():
    older = LogEntry(2, 1, KIND_COMMAND, b"x")
    core = make_core(entries=(FIRST, older))
    elect(core)
    acknowledge(core, 2, 5_000.0)
    assert core.commit_index == 0
    acknowledge(core, 3, 5_000.0)
    assert core.commit_index == 3


def test_the_lease_starts_when_the_acknowledged_request_was_sent():
    core = make_core()
    elect(core)
    acknowledge(core, 2, sent_at=5_000.0)
    assert core.can_serve_reads(5_000.0 + LEADER_LEASE - 1)
    assert not core.can_serve_reads(5_000.0 + LEADER_LEASE)
    assert LEADER_LEASE < MIN_ELECTION_TIMEOUT


def test_a_partitioned_leader_steps_down():
    core = make_core()
    elect(core)
    core.tick(5_000.0 + MIN_ELECTION_TIMEOUT + HEARTBEAT_PERIOD)
    assert not core.is_leader
    with pytest.raises(NotLeader):
        core.propose(KIND_COMMAND, b"x", 7_000.0)


def test_a_leader_that_transfers_leadership_gives_up_its_lease_first():
    core = make_core()
    elect(core)
    acknowledge(core, 2, 5_000.0)
    assert core.transfer_leadership(5_001.0)
    assert not core.can_serve_reads(5_001.0)
    assert replies(core, TakeOver)


def test_conflicting_entries_are_truncated_and_replaced():
    core = make_core(entries=(FIRST, LogEntry(2, 1, KIND_COMMAND, b"old")))
    new = LogEntry(2, 2, KIND_COMMAND, b"new")
    core.receive(AppendRequest("c", "b", "a", 2, 1, 1, (new,), 0, 0.0), 0.0)
    output = core.take_output()
    assert (output.truncate_from, output.entries) == (2, [new])


def test_entries_with_a_mismatching_previous_term_are_rejected():
    core = make_core(entries=(FIRST, LogEntry(2, 1, KIND_COMMAND, b"old")))
    new = LogEntry(3, 2, KIND_COMMAND, b"new")
    core.receive(AppendRequest("c", "b", "a", 2, 2, 2, (new,), 0, 0.0), 0.0)
    assert [reply.success for reply in replies(core, AppendReply)] == [False]
    assert core.log.last_index == 2


@pytest.mark.parametrize(
    ("cluster", "recipient"), [("other", "a"), ("c", "an identity that this disk had before")]
)
def test_messages_for_another_cluster_or_identity_are_ignored(cluster, recipient):
    core = make_core()
    core.receive(VoteRequest(cluster, "b", recipient, 9, 9, 9, False, False), 5_000.0)
    output = core.take_output()
    assert not output.messages
    assert not output.has_writes


def test_members_change_one_voter_at_a_time_and_only_after_catching_up():
    core = make_core()
    elect(core)
    with pytest.raises(MembershipRefused, match="not committed yet"):
        core.propose_members(MEMBERS, 5_000.0)
    acknowledge(core, 2, 5_000.0)
    with pytest.raises(MembershipRefused, match="one voter"):
        core.propose_members(Members({"a": "a"}, {}), 5_000.0)
    core.propose_members(Members(MEMBERS.voters, {"d": "d"}), 5_000.0)
    acknowledge(core, 3, 5_000.0)
    with pytest.raises(MembershipRefused, match="caught up"):
        core.propose_members(Members({**MEMBERS.voters, "d": "d"}, {}), 5_000.0)
    acknowledge(core, 3, 5_000.0, sender="d")
    core.propose_members(Members({**MEMBERS.voters, "d": "d"}, {}), 5_000.0)
    with pytest.raises(MembershipRefused, match="not committed yet"):
        core.propose_members(MEMBERS, 5_000.0)


def test_a_leader_counts_its_own_entries_only_once_they_are_synced():
    core = make_core()
    elect(core)
    core.propose(KIND_COMMAND, b"x", 5_000.0)
    core.receive(AppendReply("c", "b", "a", core.term, True, 3, 5_000.0), 5_000.0)
    assert core.commit_index == 2
    core.note_stored(3, 5_010.0)
    assert core.commit_index == 3


def test_a_member_that_can_not_store_neither_leads_nor_votes():
    core = make_core()
    elect(core)
    core.set_can_store(False, 5_000.0)
    assert not core.is_leader
    core.take_output()
    for at in range(5_000, 20_000, 100):
        core.tick(float(at))
    core.receive(vote_request(term=9, transfer=True), 20_000.0)
    core.receive(TakeOver("c", "b", "a", core.term), 20_000.0)
    output = core.take_output()
    assert (output.messages, output.hard_state) == ([], None)
    core.set_can_store(True, 20_000.0)
    core.receive(vote_request(term=9, transfer=True), 20_001.0)
    assert [reply.granted for reply in replies(core, VoteReply)] == [False]
    assert core.term == 9


# Guards against a member that takes over a term that it can't store, and then ends at each start.
@pytest.mark.parametrize(
    "message",
    [
        vote_request(2**64 - 1),
        vote_request(2**64),
        VoteReply("c", "b", "a", 2**63, False, False),
        AppendRequest("c", "b", "a", 2**64 - 1, 1, 1, (), 1, 0.0),
        AppendRequest("c", "b", "a", 2, 2**64 - 1, 1, (), 1, 0.0),
        AppendReply("c", "b", "a", 2**64 - 1, True, 1, 0.0),
        TakeOver("c", "b", "a", 2**64 - 1),
        SnapshotRequest("c", "b", "a", 2, Snapshot(2**64 - 1, 1, MEMBERS, b""), 0.0),
        SnapshotRequest("c", "b", "a", 2, Snapshot(1, 2**64 - 1, MEMBERS, b""), 0.0),
    ],
    ids=lambda message: type(message).__name__,
)
def test_a_message_with_a_number_that_is_too_large_changes_nothing(message):
    assert "too large" in protocol_violation(message)
    core = make_core()
    core.receive(message, 5_000.0)
    assert core.term == 1 and core.log.last_index == 1
    assert core.take_output().hard_state is None
