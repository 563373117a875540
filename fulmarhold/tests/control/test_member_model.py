"""Members that are lost for good, wiped, cut off and replaced while entries are proposed.

Runs the real core and the real decisions on members under random schedules. No committed entry may
be lost as long as no more disks are lost at once than the voters allow, and once all is calm, the
members that run are the voters.
"""

from __future__ import annotations

import math
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import seed as pinned_seed
from hypothesis import strategies as st

from fulmarhold.consensus.core import NotLeader, RaftCore
from fulmarhold.consensus.memory import MemoryLog
from fulmarhold.consensus.messages import KIND_COMMAND, Members
from fulmarhold.consensus.output import HardState
from fulmarhold.consensus.storage import EMPTY_SNAPSHOT
from fulmarhold.control.voter_changes import MemberHealth, admit, next_members
from fulmarhold.errors import FulmarholdError
from fulmarhold.tests.consensus.test_core import CLUSTER, STEP_MS, Cluster, Disk

SCHEDULE_COUNT = 60
ACTIONS_PER_SCHEDULE = 60
SCHEDULE_SEED = 20261205
CALM_STEPS = math.ceil(30_000.0 / STEP_MS)
NO_MEMBERS = Members({}, {})


class EmptyDisk(Disk):
    """The disk of a machine that was never a member."""

    def __init__(self) -> None:
        super().__init__(NO_MEMBERS)
        self.hard_state = HardState()
        self.entries = []


class ChangingCluster(Cluster):
    """A cluster whose machines are replaced: a machine is an endpoint, a disk an identity."""

    def __init__(self, size: int, seed: int) -> None:
        super().__init__(size, seed, loss=0.02)
        self.size = size
        self.endpoints = {name: name for name in self.names}
        self.next_number = size

    # The disk of a machine counts as lost until the voters are complete without it.

    @property
    def leader(self) -> RaftCore | None:
        leaders = [core for core in self.cores.values() if core.has_committed_in_term]
        return max(leaders, key=lambda core: core.term, default=None)

    def may_lose_a_disk(self) -> bool:
        leader = self.leader
        if leader is None or leader.log.members_index > leader.commit_index:
            return False
        voters = leader.members.voters
        return len(voters) == self.size and all(
            name in self.cores and self.cores[name].commit_index >= leader.log.members_index
            for name in voters
        )

    def add_machine(self, endpoint: str) -> None:
        name = f"n{self.next_number}"
        self.next_number += 1
        self.names.append(name)
        self.endpoints[name] = endpoint
        self.disks[name] = EmptyDisk()
        self.cores[name] = RaftCore(
            name,
            CLUSTER,
            MemoryLog(EMPTY_SNAPSHOT),
            HardState(),
            Random(self.random.random()),
            self.now,
        )
        self.delivered[name] = 0

    def lose_disk(self, name: str) -> None:
        self.crash(name)
        del self.disks[name]
        self.names.remove(name)

    def step(self) -> None:
        super().step()
        for name in list(self.cores):
            self.join(name)
        for name in list(self.cores):
            self.reconcile(name)

    def join(self, name: str) -> None:
        """Ask the leader for admission as a member that is unknown or hears from no leader."""
        core, leader = self.cores[name], self.leader
        age = self.now - core.confirmed_at(self.now)
        if leader is None or core.is_leader or age < 1_500.0:
            return
        if frozenset((name, leader.identity)) in self.cut_links:
            return
        admitted = admit(leader.members, name, self.endpoints[name])
        if admitted != leader.members:
            self.change(leader, admitted)

    def reconcile(self, name: str) -> None:
        core = self.cores[name]
        if not core.is_leader:
            return
        health = {
            member: MemberHealth(
                self.now - max(core.acknowledged_at(member), core.leader_since),
                core.match_index(member) >= core.commit_index,
            )
            for member in core.members.all_members
        }
        changed = next_members(core.members, name, health, self.size)
        if changed is not None:
            self.change(core, changed)

    def change(self, core: RaftCore, members: Members) -> None:
        try:
            core.propose_members(members, self.now)
        except FulmarholdError:
            return
        self.process_output(core.identity)


def act(cluster: ChangingCluster, number: int) -> None:
    random = cluster.random
    name = random.choice(cluster.names)
    match random.choices(
        ["propose", "replace", "wipe", "crash", "start", "restart_all", "cut", "heal", "compact"],
        [30, 10, 10, 6, 12, 2, 6, 8, 4],
    )[0]:
        case "propose":
            for core in list(cluster.cores.values()):
                try:
                    core.propose(KIND_COMMAND, b"%d" % number, cluster.now)
                except NotLeader:
                    continue
                cluster.process_output(core.identity)
        case "replace" if cluster.may_lose_a_disk():
            cluster.lose_disk(name)
            cluster.add_machine(f"address-{cluster.next_number}")
        case "wipe" if cluster.may_lose_a_disk():
            cluster.lose_disk(name)
            cluster.add_machine(cluster.endpoints[name])
        case "crash":
            cluster.crash(name)
        case "start" if name not in cluster.cores:
            cluster.start(name)
        case "restart_all":
            for other in cluster.names:
                cluster.crash(other)
                cluster.start(other)
        case "cut":
            cluster.cut_links.add(frozenset(random.sample(cluster.names, 2)))
        case "heal":
            cluster.cut_links.clear()
        case "compact":
            cluster.compact(name)
    for _ in range(random.choice([1, 2, 8, 30, 80])):
        cluster.step()


@pinned_seed(SCHEDULE_SEED)
@settings(
    max_examples=SCHEDULE_COUNT,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(size=st.sampled_from([3, 5]), seed=st.integers(0, 2**32))
def test_replaced_wiped_and_cut_off_members_lose_nothing_and_are_made_up_for(size, seed):
    cluster = ChangingCluster(size, seed)
    for number in range(ACTIONS_PER_SCHEDULE):
        act(cluster, number)
    cluster.heal_and_restart()
    for _ in range(CALM_STEPS):
        cluster.step()
        leader = cluster.leader
        if leader is not None and set(leader.members.voters) <= set(cluster.cores):
            newest = max(cluster.committed)
            if leader.commit_index >= newest and len(leader.members.voters) == size:
                return
    raise AssertionError("the machines that run do not become the voters")
