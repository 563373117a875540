"""The Raft core under random schedules of message loss, duplication, reordering and restarts.

Guards the safety invariants: one leader per term, no committed entry lost or replaced, entries
applied in order, and no stale read under a leader's lease.
"""

from __future__ import annotations

import itertools
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import seed as pinned_seed
from hypothesis import strategies as st

from fulmarhold.consensus.core import NotLeader, RaftCore
from fulmarhold.consensus.memory import MemoryLog, pack_members
from fulmarhold.consensus.messages import (
    KIND_COMMAND,
    KIND_MEMBERS,
    LogEntry,
    Members,
    PeerMessage,
    Snapshot,
)
from fulmarhold.consensus.output import HardState, Output
from fulmarhold.consensus.storage import EMPTY_SNAPSHOT

CLUSTER = "c"
STEP_MS = 50.0
SCHEDULE_COUNT = 200
ACTIONS_PER_SCHEDULE = 150
# Pinned, because derandomize derives the seed from the source of the test function, and a rename
# would change the schedules.
SCHEDULE_SEED = int(
    "d164750b75da5f87aff346c2d6ef904ac1301321e261c5a7"
    "21d4bdbb2dfd4485641b696dc859e2a9d62da21c0ff5fb50",
    16,
)


class Disk:
    """The synced state of a member; it survives a crash."""

    def __init__(self, members: Members) -> None:
        self.hard_state = HardState(1)
        self.snapshot = EMPTY_SNAPSHOT
        self.entries = [LogEntry(1, 1, KIND_MEMBERS, pack_members(members))]

    def write(self, output: Output) -> None:
        if output.hard_state is not None:
            self.hard_state = output.hard_state
        if output.installed_snapshot is not None:
            self.snapshot, self.entries = output.installed_snapshot, []
        if output.truncate_from is not None:
            self.entries = [item for item in self.entries if item.index < output.truncate_from]
        self.entries.extend(output.entries)

    def load(self) -> MemoryLog:
        return MemoryLog(self.snapshot, self.entries)


class Cluster:
    """A cluster on a simulated network that checks the invariants at each step."""

    def __init__(self, size: int, seed: int, loss: float) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.now = 0.0
        self.names = [f"m{number}" for number in range(size)]
        members = Members({name: name for name in self.names}, {})
        self.disks = {name: Disk(members) for name in self.names}
        self.cores: dict[str, RaftCore] = {}
        self.wire: list = []
        self.cut_links: set[frozenset[str]] = set()
        self.committed: dict[int, LogEntry] = {}
        self.leaders: dict[int, str] = {}
        self.delivered: dict[str, int] = {}
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        disk = self.disks[name]
        self.cores[name] = RaftCore(
            name, CLUSTER, disk.load(), disk.hard_state, Random(self.random.random()), self.now
        )
        self.delivered[name] = disk.snapshot.index

    def crash(self, name: str) -> None:
        self.cores.pop(name, None)

    def process_output(self, name: str) -> None:
        core = self.cores[name]
        output = core.take_output()
        self.disks[name].write(output)
        core.note_stored(core.log.last_index, self.now)
        self.wire.extend(output.messages)
        if output.installed_snapshot is not None:
            self.delivered[name] = output.installed_snapshot.index
        for entry in output.committed:
            assert entry.index == self.delivered[name] + 1, "entries are applied in order"
            self.delivered[name] = entry.index
            first_committed = self.committed.setdefault(entry.index, entry)
            assert first_committed == entry, "no committed entry is lost or replaced"
        if core.is_leader:
            assert self.leaders.setdefault(core.term, name) == name, "one leader per term"

    def step(self) -> None:
        self.now += STEP_MS
        for name in list(self.cores):
            self.cores[name].tick(self.now)
            self.process_output(name)
        wire, self.wire = self.wire, []
        self.random.shuffle(wire)
        for message in wire:
            self.deliver(message)
        self.check_leases()

    def deliver(self, message: PeerMessage) -> None:
        if message.recipient not in self.cores:
            return
        if frozenset((message.sender, message.recipient)) in self.cut_links:
            # A message on a cut link is delayed, possibly for long, or lost.
            if self.random.random() < 0.2:
                self.wire.append(message)
            return
        chance = self.random.random()
        if chance < self.loss:
            return
        if chance < 2 * self.loss:
            self.wire.append(message)
        if chance > 1 - self.loss:
            self.wire.append(message)
            return
        self.cores[message.recipient].receive(message, self.now)
        self.process_output(message.recipient)

    def check_leases(self) -> None:
        lease_holders = [
            name for name, core in self.cores.items() if core.can_serve_reads(self.now)
        ]
        assert len(lease_holders) <= 1, "two members hold a leader's lease"
        for name in lease_holders:
            newest = max(self.committed, default=0)
            assert self.cores[name].commit_index >= newest, "a leased read would be stale"

    def propose(self, name: str, data: bytes) -> None:
        core = self.cores.get(name)
        if core is None:
            return
        try:
            core.propose(KIND_COMMAND, data, self.now)
        except NotLeader:
            return
        self.process_output(name)

    def compact(self, name: str) -> None:
        core = self.cores.get(name)
        if core is None or core.commit_index <= core.log.snapshot.index:
            return
        index = core.commit_index
        term = core.log.term_at(index)
        assert term is not None
        snapshot = Snapshot(index, term, core.log.members_at(index), b"s")
        core.compact(snapshot, index)
        disk = self.disks[name]
        disk.snapshot = snapshot
        disk.entries = [entry for entry in disk.entries if entry.index > index]

    def heal_and_restart(self) -> None:
        self.cut_links.clear()
        for name in self.names:
            if name not in self.cores:
                self.start(name)


def pairs(names: list[str]) -> list[frozenset[str]]:
    """Return all pairs of members."""
    return [frozenset(pair) for pair in itertools.combinations(names, 2)]


def perform_random_action(cluster: Cluster, number: int) -> None:
    """Perform one random action, then run the cluster for a random number of steps."""
    random = cluster.random
    name = random.choice(cluster.names)
    match random.choices(
        ["propose", "crash", "start", "restart", "split", "cut", "heal", "compact"],
        [40, 8, 16, 8, 5, 8, 5, 4],
    )[0]:
        case "propose":
            for candidate in cluster.names:
                cluster.propose(candidate, b"%d" % number)
        case "crash":
            cluster.crash(name)
        case "start":
            if name not in cluster.cores:
                cluster.start(name)
        case "restart":
            cluster.crash(name)
            cluster.start(name)
        case "split":
            left = {member for member in cluster.names if random.random() < 0.5}
            cluster.cut_links = {pair for pair in pairs(cluster.names) if len(pair & left) == 1}
        case "cut":
            cluster.cut_links.add(random.choice(pairs(cluster.names)))
        case "heal":
            cluster.cut_links.clear()
        case "compact":
            cluster.compact(name)
    for _ in range(random.choice([0, 1, 1, 2, 4, 8, 30])):
        cluster.step()


@pinned_seed(SCHEDULE_SEED)
@settings(
    max_examples=SCHEDULE_COUNT,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    size=st.sampled_from([3, 5]),
    seed=st.integers(0, 2**32),
    loss=st.sampled_from([0.0, 0.05, 0.15]),
)
def test_invariants_hold_under_random_schedules(size, seed, loss):
    cluster = Cluster(size, seed, loss)
    for number in range(ACTIONS_PER_SCHEDULE):
        perform_random_action(cluster, number)
    cluster.heal_and_restart()
    for _ in range(400):
        cluster.step()
        if any(core.has_committed_in_term for core in cluster.cores.values()):
            break
    assert any(
        core.has_committed_in_term for core in cluster.cores.values()
    ), "a healed cluster elects a leader"
