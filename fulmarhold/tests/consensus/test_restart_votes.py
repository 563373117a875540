"""Elections after all voters have started anew: no patience is owed to a leader that is gone."""

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


def question(sender, recipient, last=(1, 1)):
    return VoteRequest("c", sender, recipient, 2, last[1], last[0], True, False, True)


def answer(core, message, now):
    core.receive(message, now)
    (reply,) = core.take_output().messages
    return reply


def run(cores, until, step=5.0, delivered=lambda message: True):
    """Let members talk without delay; returns when one leads, or `until`."""
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
def test_voters_that_all_restarted_elect_a_leader_before_any_timeout(seed):
    cores = {name: restarted(name, seed * 3 + n) for n, name in enumerate(NAMES)}
    elected_at = run(cores, STARTED_AT + MIN_ELECTION_TIMEOUT)
    assert [core for core in cores.values() if core.is_leader]
    assert elected_at <= STARTED_AT + 3 * RESTART_VOTE_SPREAD


def test_one_voter_that_does_not_answer_is_waited_for():
    cores = {name: restarted(name, n) for n, name in enumerate(NAMES) if name != "c"}
    run(cores, STARTED_AT + MIN_ELECTION_TIMEOUT - 10.0)
    assert not any(core.is_leader for core in cores.values())
    run(cores, STARTED_AT + 10 * MIN_ELECTION_TIMEOUT)
    assert any(core.is_leader for core in cores.values())


def test_a_voter_that_follows_a_leader_does_not_grant_it():
    core = restarted("b")
    now = STARTED_AT + 1.0
    core.receive(AppendRequest("c", "a", "b", 1, 1, 1, (), 0, now), now)
    core.take_output()
    assert answer(core, question("c", "b"), now + 1.0).granted is False


def test_a_voter_that_runs_for_longer_does_not_grant_it():
    core = restarted("b")
    now = STARTED_AT + MIN_ELECTION_TIMEOUT + 1.0
    assert answer(core, question("c", "b"), now).granted is False


def test_a_voter_with_more_in_its_log_does_not_grant_it():
    entries = (FIRST, LogEntry(2, 1, KIND_COMMAND, b"x"))
    assert answer(restarted("b", entries=entries), question("c", "b"), STARTED_AT).granted is False


def test_two_of_three_answers_do_not_make_it_a_candidate():
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
def test_voters_that_ask_at_the_same_moment_do_not_split_the_votes(seed, monkeypatch):
    """Load pattern: all lose power, two of five their disks; the other three must agree."""
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
        # Everything that was sent in one step crosses on its way.
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
