"""How old a member's knowledge is: no message confirms more than was true when it was sent.

An entry accepts keys only while its knowledge is confirmed. A member that confirms a state that is
no longer current lets entries accept keys that were withdrawn.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import seed as pinned_seed
from hypothesis import strategies as st

from fulmarhold.consensus.core import HEARTBEAT_PERIOD, RaftCore
from fulmarhold.consensus.memory import MemoryLog, pack_members
from fulmarhold.consensus.messages import (
    KIND_MEMBERS,
    AppendReply,
    AppendRequest,
    LogEntry,
    Members,
)
from fulmarhold.consensus.output import HardState
from fulmarhold.consensus.storage import EMPTY_SNAPSHOT
from fulmarhold.membership.watcher import MAX_CONFIRMATION_AGE
from fulmarhold.tests.consensus.test_core import Cluster, perform_random_action

SCHEDULE_COUNT = 100
ACTIONS_PER_SCHEDULE = 100
SCHEDULE_SEED = 20261206
NAMES = ("a", "b", "c")
MEMBERS = Members({name: name for name in NAMES}, {})
FIRST = LogEntry(1, 1, KIND_MEMBERS, pack_members(MEMBERS))
# The clocks of two machines have nothing in common.
CLOCK_OFFSETS = {"a": 0.0, "b": 7e6, "c": -3e6}
ROUND_TRIP = 10.0


class Trio:
    """Three members with clocks of their own; `a` leads, and messages arrive at once or later."""

    def __init__(self):
        self.now = 5_000.0
        self.cores: dict[str, RaftCore] = {}
        for name in NAMES:
            self.start(name)
        self.late = []
        self.delayed = set()
        leader = self.cores["a"]
        for _ in range(100):
            if leader.has_committed_in_term:
                return
            self.run(ROUND_TRIP, ticking=("a",))
        raise AssertionError("no leader")

    def start(self, name):
        self.cores[name] = RaftCore(
            name, "c", MemoryLog(EMPTY_SNAPSHOT, [FIRST]), HardState(1), Random(1), self.at(name)
        )

    def at(self, name):
        return self.now + CLOCK_OFFSETS[name]

    def age(self, name):
        return self.at(name) - self.cores[name].confirmed_at(self.at(name))

    def send_all(self):
        for name, core in self.cores.items():
            core.note_stored(core.log.last_index, self.at(name))
        messages = [item for core in self.cores.values() for item in core.take_output().messages]
        self.late += [item for item in messages if (item.sender, item.recipient) in self.delayed]
        return [item for item in messages if (item.sender, item.recipient) not in self.delayed]

    def receive(self, message):
        self.cores[message.recipient].receive(message, self.at(message.recipient))

    def run(self, duration, ticking=NAMES):
        """Let members tick until all messages have arrived, each half a round trip later."""
        until = self.now + duration
        while self.now < until:
            for name in ticking:
                self.cores[name].tick(self.at(name))
            for _ in range(4):
                messages = self.send_all()
                self.now += ROUND_TRIP / 2
                for message in messages:
                    self.receive(message)


def test_in_calm_every_member_is_confirmed_by_far_within_the_bound_of_entries():
    trio = Trio()
    trio.run(1_000.0)
    ages = []
    for _ in range(100):
        trio.run(ROUND_TRIP)
        ages += [trio.age(name) for name in NAMES]
    assert max(ages) <= 2 * HEARTBEAT_PERIOD + 4 * ROUND_TRIP < MAX_CONFIRMATION_AGE / 2


# Guards against a fleet that starts later, or feeds that fail over later, than members elect.
def test_after_an_election_followers_are_confirmed_with_the_first_commit_of_the_leader():
    trio = Trio()
    trio.run(2 * ROUND_TRIP)
    assert max(trio.age(name) for name in NAMES) <= 6 * ROUND_TRIP < HEARTBEAT_PERIOD


# Guards against a state that a deposed leader's message confirms seconds after it was sent.
@pytest.mark.parametrize("age", [2_000.0, 60_000.0])
def test_a_late_message_of_a_deposed_leader_confirms_nothing(age):
    trio = Trio()
    trio.run(1_000.0)
    trio.delayed = {("a", "b")}
    trio.run(HEARTBEAT_PERIOD)
    trio.now += age
    for message in trio.late:
        trio.receive(message)
    assert trio.late and trio.age("b") >= age


# Guards against entries that follow a member whose leader doesn't hear from it: it may be deposed.
def test_a_link_that_is_cut_in_one_direction_confirms_nothing():
    trio = Trio()
    trio.run(1_000.0)
    trio.delayed = {("b", "a"), ("c", "a")}
    trio.run(350.0)
    assert trio.age("b") >= 350.0 - HEARTBEAT_PERIOD


def test_a_member_that_was_started_again_takes_no_confirmation_of_its_previous_run():
    trio = Trio()
    trio.run(1_000.0)
    trio.delayed = {("a", "b")}
    trio.run(HEARTBEAT_PERIOD)
    trio.start("b")
    for message in trio.late:
        trio.receive(message)
    assert trio.age("b") == float("inf")


def test_a_leader_of_an_earlier_release_confirms_by_the_time_of_receipt():
    trio = Trio()
    core = trio.cores["b"]
    request = AppendRequest("c", "a", "b", core.term, 1, 1, (), 1, 0.0)
    core.receive(request, trio.at("b"))
    assert trio.age("b") == 0.0


# Guards against an echo that is taken for more than it says, or that says nothing.
@pytest.mark.parametrize(
    ("stamped_ago", "quorum_age", "commit", "age"),
    [
        (30.0, 70.0, 1, 100.0),
        (30.0, 0.0, 1, 30.0),
        (30.0, 70.0, 2, float("inf")),
        (-1.0, 70.0, 1, float("inf")),
        (30.0, -1.0, 1, float("inf")),
        (30.0, float("nan"), 1, float("inf")),
    ],
)
def test_an_echo_confirms_its_stamp_less_the_age_of_the_quorum(
    stamped_ago, quorum_age, commit, age
):
    trio = Trio()
    trio.start("b")
    core, now = trio.cores["b"], trio.at("b")
    request = AppendRequest("c", "a", "b", 9, 1, 1, (), commit, 0.0, echoes=True)
    core.receive(request, now - 50.0)
    (reply,) = core.take_output().messages
    assert isinstance(reply, AppendReply) and reply.stamp
    echo = reply.stamp[0], now - stamped_ago, quorum_age
    core.receive(replace(request, echo=echo), now)
    assert trio.age("b") == age


# Guards against a stamp that is taken as confirmed although the quorum is older.
def test_an_echo_tells_how_old_the_quorum_was_when_the_stamp_arrived():
    trio = Trio()
    trio.run(1_000.0)
    trio.delayed = {("b", "a"), ("c", "a")}
    trio.run(2 * HEARTBEAT_PERIOD)
    trio.now += 150.0
    leader, late = trio.cores["a"], trio.late[-1]
    leader.take_output()
    trio.receive(late)
    leader.tick(trio.at("a") + HEARTBEAT_PERIOD)
    echoes = [item.echo for item in leader.take_output().messages
              if isinstance(item, AppendRequest) and item.recipient == late.sender]  # fmt: skip
    assert isinstance(late, AppendReply) and late.stamp
    assert echoes == [(*late.stamp, trio.at("a") - late.sent_at)]


class ConfirmingCluster(Cluster):
    """A cluster that notes when each commit could be acknowledged first, and suspends members."""

    def __init__(self, size: int, seed: int, loss: float) -> None:
        self.acknowledged_at: dict[int, float] = {}
        self.suspended: set[str] = set()
        super().__init__(size, seed, loss)

    def process_output(self, name: str) -> None:
        super().process_output(name)
        core = self.cores[name]
        if core.is_leader:
            for index in range(core.commit_index, 0, -1):
                if self.acknowledged_at.setdefault(index, self.now) != self.now:
                    break

    def step(self) -> None:
        resting = {name: self.cores.pop(name) for name in self.suspended if name in self.cores}
        held = [message for message in self.wire if message.recipient in resting]
        self.wire = [message for message in self.wire if message.recipient not in resting]
        super().step()
        self.wire += held
        self.cores.update(resting)
        self.check_confirmations()

    def check_confirmations(self) -> None:
        for name, core in self.cores.items():
            confirmed_at = core.confirmed_at(self.now)
            assert all(
                index <= core.commit_index
                for index, at in self.acknowledged_at.items()
                if at < confirmed_at
            ), f"{name} confirms a state without what was acknowledged before"


@pinned_seed(SCHEDULE_SEED)
@settings(
    max_examples=SCHEDULE_COUNT,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(size=st.sampled_from([3, 5]), seed=st.integers(0, 2**32), loss=st.sampled_from([0.0, 0.1]))
def test_no_member_confirms_a_state_without_what_was_acknowledged_before(size, seed, loss):
    cluster = ConfirmingCluster(size, seed, loss)
    for number in range(ACTIONS_PER_SCHEDULE):
        if cluster.random.random() < 0.2:
            cluster.suspended = set(cluster.random.sample(cluster.names, 1))
        elif cluster.random.random() < 0.3:
            cluster.suspended = set()
        perform_random_action(cluster, number)
