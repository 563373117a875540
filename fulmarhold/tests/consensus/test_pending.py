"""Writes that take long, fail and are repeated: what is promised is stored, whatever happens.

Runs the schedules of `test_core` with disks that stall and fill up: a crash then loses what was not
synced, and the invariants of the log must hold all the same.
"""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import seed as pinned_seed
from hypothesis import strategies as st

from fulmarhold.consensus.messages import (
    KIND_COMMAND,
    AppendReply,
    LogEntry,
    Members,
    Snapshot,
    VoteReply,
)
from fulmarhold.consensus.output import HardState, Output
from fulmarhold.consensus.pending import Outbox, PendingWrites
from fulmarhold.tests.consensus.test_core import (
    ACTIONS_PER_SCHEDULE,
    Cluster,
    Disk,
    perform_random_action,
)

SCHEDULE_COUNT = 120
SCHEDULE_SEED = 20261204
# Of 50 ms each: the time in which a change must be acknowledged.
RECOVERY_STEPS = 100
MEMBERS = Members({"a": "a"}, {})


class StallingCluster(Cluster):
    """A cluster whose disks stall or refuse writes for a while."""

    def __init__(self, size, seed, loss):
        self.writes: dict[str, PendingWrites] = {}
        self.outboxes: dict[str, Outbox] = {}
        self.stalled: set[str] = set()
        self.full: set[str] = set()
        super().__init__(size, seed, loss)

    def start(self, name):
        super().start(name)
        self.writes[name], self.outboxes[name] = PendingWrites(), Outbox()

    def process_output(self, name):
        core = self.cores[name]
        output = core.take_output()
        self.writes[name].add(output)
        self.outboxes[name].add(output.messages)
        self.deliver_entries(name, output)
        if name not in self.stalled:
            self.write(name)
        is_slow = name in self.stalled or name in self.full
        released = self.outboxes[name].release(
            self.writes[name], core.stored_index, core.term, is_slow=is_slow
        )
        self.wire.extend(released)

    def write(self, name):
        core, writes = self.cores[name], self.writes[name]
        while (output := writes.start()) is not None:
            if name in self.full:
                writes.fail()
                core.set_can_store(False, self.now)
                return
            self.disks[name].write(output)
            writes.complete()
            core.set_can_store(True, self.now)
            first = writes.first_unstored
            core.note_stored(core.log.last_index if first is None else first - 1, self.now)
            more = core.take_output()
            writes.add(more)
            self.outboxes[name].add(more.messages)
            self.deliver_entries(name, more)

    def deliver_entries(self, name, output):
        if output.installed_snapshot is not None:
            self.delivered[name] = output.installed_snapshot.index
        for entry in output.committed:
            assert entry.index == self.delivered[name] + 1, "entries are applied in order"
            self.delivered[name] = entry.index
            first = self.committed.setdefault(entry.index, entry)
            assert first == entry, "no committed entry is lost or replaced"
        core = self.cores[name]
        if core.is_leader:
            assert self.leaders.setdefault(core.term, name) == name, "one leader per term"

    def compact(self, name):
        if name in self.cores and self.writes[name].is_idle:
            super().compact(name)

    def disturb_disks(self):
        name = self.random.choice(self.names)
        match self.random.choice(["stall", "fill", "heal", "heal", "none", "none"]):
            case "stall":
                self.stalled.add(name)
            case "fill":
                self.full.add(name)
            case "heal":
                self.stalled.discard(name)
                self.full.discard(name)

    def heal_and_restart(self):
        self.stalled.clear()
        self.full.clear()
        super().heal_and_restart()


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
def test_invariants_hold_while_disks_stall_and_fill_up(size, seed, loss):
    cluster = StallingCluster(size, seed, loss)
    for number in range(ACTIONS_PER_SCHEDULE):
        cluster.disturb_disks()
        perform_random_action(cluster, number)
    cluster.heal_and_restart()
    for _ in range(400):
        cluster.step()
        if any(core.has_committed_in_term for core in cluster.cores.values()):
            return
    raise AssertionError("a cluster with healthy disks elects a leader")


def fill_one_disk(cluster):
    """Fill one disk at most, and change, compact and restart members meanwhile."""
    random = cluster.random
    name = random.choice(cluster.names)
    cluster.full = {name} if random.random() < 0.9 else set()
    for number in range(random.randint(1, 6)):
        match random.choice(["propose", "propose", "compact", "compact", "restart", "none"]):
            case "propose":
                for candidate in cluster.names:
                    cluster.propose(candidate, b"%d" % number)
            case "compact":
                cluster.compact(random.choice(cluster.names))
            case "restart":
                cluster.crash(name)
                cluster.start(name)
        for _ in range(random.choice([0, 1, 2, 4, 8, 30])):
            cluster.step()


def is_level(cluster):
    """Whether all members have committed and stored the same, in the term of a leader."""
    cores = cluster.cores.values()
    indexes = {index for core in cores for index in (core.commit_index, core.stored_index)}
    return len(indexes) == 1 and any(core.has_committed_in_term for core in cores)


@pinned_seed(SCHEDULE_SEED)
@settings(
    max_examples=SCHEDULE_COUNT,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    size=st.sampled_from([3, 4, 5]),
    seed=st.integers(0, 2**32),
    loss=st.sampled_from([0.0, 0.05, 0.15]),
)
def test_members_take_changes_again_after_disks_were_full_in_turn(size, seed, loss):
    # Guards against members that stay behind, or away from elections, once there is room again.
    cluster = StallingCluster(size, seed, loss)
    for _ in range(10):
        fill_one_disk(cluster)
    cluster.full, cluster.loss = set(), 0.0
    before = max(cluster.committed, default=0)
    for step in range(RECOVERY_STEPS):
        cluster.step()
        if step < RECOVERY_STEPS // 2:
            for name in cluster.names:
                cluster.propose(name, b"after")
    assert is_level(cluster)
    assert max(cluster.committed) > before


def entry(index, term=1):
    return LogEntry(index, term, KIND_COMMAND, b"")


@st.composite
def histories(draw):
    """Draw successive outputs of one member, each valid after those before it."""
    last, outputs = 0, []
    for term in range(1, draw(st.integers(1, 8)) + 1):
        output = Output()
        if draw(st.integers(0, 7)) == 0:
            last += draw(st.integers(1, 5))
            output.installed_snapshot = Snapshot(last, term, MEMBERS, b"")
        elif last and draw(st.booleans()):
            output.truncate_from = draw(st.integers(1, last))
            last = min(last, output.truncate_from - 1)
        if draw(st.booleans()):
            output.hard_state = HardState(term)
        count = draw(st.integers(0, 3))
        output.entries = [entry(last + n, term) for n in range(1, count + 1)]
        last += count
        outputs.append(output)
    return outputs


def content(disk):
    low = disk.snapshot.index
    return disk.hard_state, disk.snapshot, [item for item in disk.entries if item.index > low]


@given(histories(), st.lists(st.sampled_from(["write", "fail", "none"]), max_size=12))
def test_merged_and_repeated_writes_store_the_same_as_single_ones(outputs, results):
    expected, merged = Disk(MEMBERS), Disk(MEMBERS)
    expected.entries, merged.entries = [], []
    writes = PendingWrites()
    for number, output in enumerate(outputs):
        expected.write(output)
        writes.add(output)
        result = results[number] if number < len(results) else "none"
        if result == "none" or (started := writes.start()) is None:
            continue
        if result == "write":
            merged.write(started)
            writes.complete()
        else:
            writes.fail()
    while (started := writes.start()) is not None:
        merged.write(started)
        writes.complete()
    assert content(merged) == content(expected)
    assert writes.is_idle and writes.first_unstored is None


def acknowledgement(match_index, term=1):
    return AppendReply("c", "a", "b", term, True, match_index, 1.0)


def matches(messages):
    return [item.match_index for item in messages]


def test_an_acknowledgement_waits_for_its_entries_and_is_reduced_on_a_slow_disk():
    writes, outbox = PendingWrites(), Outbox()
    writes.add(Output(entries=[entry(5)]))
    outbox.add([acknowledgement(5)])
    assert outbox.release(writes, 4, 1, is_slow=False) == []
    assert matches(outbox.release(writes, 4, 1, is_slow=True)) == [4]
    assert outbox.release(writes, 4, 1, is_slow=True) == [], "once is enough"
    assert matches(outbox.release(writes, 5, 1, is_slow=False)) == [5]


def test_nothing_is_sent_before_a_vote_is_stored():
    writes, outbox = PendingWrites(), Outbox()
    writes.add(Output(hard_state=HardState(2, "b")))
    outbox.add([VoteReply("c", "a", "b", 2, False, True)])
    assert outbox.release(writes, 4, 2, is_slow=True) == []
    writes.start()
    writes.complete()
    assert len(outbox.release(writes, 4, 2, is_slow=False)) == 1


def test_an_acknowledgement_of_an_earlier_term_is_dropped():
    writes, outbox = PendingWrites(), Outbox()
    writes.add(Output(entries=[entry(5)]))
    outbox.add([acknowledgement(5)])
    assert outbox.release(writes, 5, 2, is_slow=False) == []
