"""Disks that are full in turn, never two at once: every member comes back to work."""

from __future__ import annotations

import itertools
from random import Random

import gevent
import pytest

from fulmarhold.clock import SECOND
from fulmarhold.consensus import storage as storage_module
from fulmarhold.consensus.core import MAX_ELECTION_TIMEOUT
from fulmarhold.tests.consensus.members import NAMES, MembersOnDisks

# Long enough for another member to be elected.
FULL_FOR = 1.1 * MAX_ELECTION_TIMEOUT
# Small enough that members save snapshots several times while disks are full.
COMPACTION_BYTES = 8 * 1024
FAULTS = ("write", "sync", "rename", "create")


@pytest.fixture
def members(tmp_path, monkeypatch):
    monkeypatch.setattr(storage_module, "MIN_LOG_BYTES_TO_COMPACT", COMPACTION_BYTES)
    members = MembersOnDisks(tmp_path, monkeypatch)
    with gevent.Timeout(20):
        while len(members.acknowledged) < 10:
            gevent.sleep(0.01)
    yield members
    members.stop()


def fill_for(members, name, duration, fault="write", bytes_left=0):
    members.disks[name].fill(fault, bytes_left)
    gevent.sleep(duration / SECOND)
    members.disks[name].make_room()


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_changes_go_on_after_disks_were_full_in_any_order(members, order):
    names = [members.leader(), *(name for name in NAMES if name != members.leader())]
    for position in order:
        fill_for(members, names[position], FULL_FOR)
    members.check_recovered()
    assert all(disk.refused for disk in members.disks.values())


@pytest.mark.parametrize("rounds", [2, 3])
def test_changes_go_on_after_the_disk_of_each_leader_in_turn_was_full(members, rounds):
    for _ in range(rounds * len(NAMES)):
        fill_for(members, members.leader() or "a", FULL_FOR)
    members.check_recovered()


@pytest.mark.parametrize("fault", FAULTS)
def test_changes_go_on_after_operations_of_one_kind_failed_in_turn(members, fault):
    for name in NAMES:
        fill_for(members, name, FULL_FOR, fault, bytes_left=500)
    members.check_recovered()


@pytest.mark.parametrize("seed", range(3))
def test_changes_go_on_after_random_faults_in_turn_with_restarts(members, seed):
    random = Random(seed)
    for _ in range(6):
        name = random.choice([*NAMES, members.leader() or "a"])
        disk = members.disks[name]
        disk.fill(random.choice(FAULTS), random.randrange(4_000))
        gevent.sleep(random.uniform(0.0, FULL_FOR) / SECOND)
        if random.random() < 0.5:
            members.restart(random.choice([name, name, *NAMES]))
            gevent.sleep(random.uniform(0.0, FULL_FOR) / SECOND)
        disk.make_room()
        gevent.sleep(random.choice([0.0, 0.0, 0.1, 0.5]))
    members.check_recovered()
