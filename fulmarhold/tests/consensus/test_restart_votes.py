"""Elections after all voters have restarted, without waiting for an election timeout."""

from __future__ import annotations

from random import Random

import pytest

from fulmarhold.consensus import core as core_module
from fulmarhold.consensus.core import MIN_ELECTION_TIMEOUT, RESTART_VOTE_SPREAD, RaftCore
from fulmarhold.consensus.memory import MemoryLog, pack_members
from fulmarhold.consensus.messages import (
    KIND_COMMAND,
    KIND_MEMBERS,
    AppendRequest,
    LogEntry,
    Members,
    VoteReply,
    VoteRequest,
)
from fulmarhold.consensus.output import HardState
from fulmarhold.consensus.storage import EMPTY_SNAPSHOT

NAMES = ("a", "b", "c")
FIRST = LogEntry(1, 1, KIND_MEMBERS, pack_members(Members({name: name for name in NAMES}, {})))
STARTED_AT = 10_000.0


def restarted(name, seed=1, entries=(FIRST,)):
    log = MemoryLog(EMPTY_SNAPSHOT, entries)
    return RaftCore(name, "c", log, HardState(1), Random(seed), STARTED_AT)


def restart_vote_request(sender, recipient, last=(1, 1)):
    return VoteRequest("c", sender, recipient, 2, last[1], last[0], True, False, True)


def answer(core, message, now):
    core.receive(message, now)
    (reply,) = core.take_output().messages
    return reply


def run(cores, until, step=5.0, delivered=lambda message: True):
    """Run the members with instant delivery until one is the leader or `until` is reached."""
    now = STARTED_AT
    while now < until:
        now += step
        for core in cores.values():
            core.tick(now)
        pending = [item for core in cores.values() for item in core.take_output().messages]
        while pending:
            for message in pending:
                if message.recipient in cores and delivered(message):
                    cores[message.recipient].receive(message, now)
            pending = [item for core in cores.values() for item in core.take_output().messages]
        if any(core.is_leader for core in cores.values()):
            break
    return now


@pytest.mark.parametrize("seed", range(20))
def test_restarted_voters_elect_a_leader_before_any_election_timeout(seed):
    cores = {name: restarted(name, seed * 3 + n) for n, name in enumerate(NAMES)}
    elected_at = run(cores, STARTED_AT + MIN_ELECTION_TIMEOUT)
    assert [core for core in cores.values() if core.is_leader]
    assert elected_at <= STARTED_AT + 3 * RESTART_VOTE_SPREAD


def test_an_unreachable_voter_delays_the_election_until_the_timeout():
    cores = {name: restarted(name, n) for n, name in enumerate(NAMES) if name != "c"}
    run(cores, STARTED_AT + MIN_ELECTION_TIMEOUT - 10.0)
    assert not any(core.is_leader for core in cores.values())
    run(cores, STARTED_AT + 10 * MIN_ELECTION_TIMEOUT)
    assert any(core.is_leader for core in cores.values())


def test_a_voter_that_follows_a_leader_denies_a_restart_vote():
    core = restarted("b")
    now = STARTED_AT + 1.0
    core.receive(AppendRequest("c", "a", "b", 1, 1, 1, (), 0, now), now)
    core.take_output()
    assert answer(core, restart_vote_request("c", "b"), now + 1.0).granted is False


def test_a_voter_past_its_restart_window_denies_a_restart_vote():
    core = restarted("b")
    now = STARTED_AT + MIN_ELECTION_TIMEOUT + 1.0
    assert answer(core, restart_vote_request("c", "b"), now).granted is False


def test_a_voter_with_a_longer_log_denies_a_restart_vote():
    entries = (FIRST, LogEntry(2, 1, KIND_COMMAND, b"x"))
    assert (
        answer(restarted("b", entries=entries), restart_vote_request("c", "b"), STARTED_AT).granted
        is False
    )


def test_a_restart_election_needs_a_reply_from_every_voter():
    core = restarted("a")
    now = STARTED_AT + RESTART_VOTE_SPREAD
    core.tick(now)
    core.take_output()
    core.receive(VoteReply("c", "b", "a", 2, True, True, True), now)
    assert (core.term, core.take_output().messages) == (1, [])
    core.receive(VoteReply("c", "c", "a", 2, True, True, True), now)
    assert core.term == 2


FIVE = ("a", "b", "c", "d", "e")


@pytest.mark.parametrize("seed", range(10))
def test_voters_that_ask_at_the_same_time_do_not_split_the_vote(seed, monkeypatch):
    """All five lose power and two of them their disks; the other three must elect a leader."""
    members = pack_members(Members({name: name for name in FIVE}, {}))
    first = LogEntry(1, 1, KIND_MEMBERS, members)
    monkeypatch.setattr(core_module, "RESTART_VOTE_SPREAD", 0.0)
    cores = {name: restarted(name, seed * 3 + n, (first,)) for n, name in enumerate(NAMES)}
    monkeypatch.undo()
    now = STARTED_AT
    while now < STARTED_AT + RESTART_VOTE_SPREAD:
        now += 5.0
        for core in cores.values():
            core.tick(now)
        # Collect the messages of all members before any is delivered, so that requests cross.
        sent = [item for core in cores.values() for item in core.take_output().messages]
        for message in sent:
            if message.recipient in cores:
                cores[message.recipient].receive(message, now)
            elif isinstance(message, VoteRequest) and message.restarted:
                granted = VoteReply(
                    "c", message.recipient, message.sender, message.term, True, True, True
                )
                cores[message.sender].receive(granted, now)
    assert sum(core.is_leader for core in cores.values()) == 1
