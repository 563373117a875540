"""Voters that lost their disk or fell silent are replaced, one change at a time."""

from __future__ import annotations

from fulmarhold.consensus.messages import Members
from fulmarhold.control.succession import VOTER_SILENCE, MemberHealth, admit, next_members

WELL = MemberHealth(0.0, True)
SILENT = MemberHealth(VOTER_SILENCE, True)
BEHIND = MemberHealth(0.0, False)

THREE = Members({"a": "1:1", "b": "2:1", "c": "3:1"}, {})


def step(members, wanted=3, **health):
    everyone = {name: health.get(name, WELL) for name in members.all_members}
    return next_members(members, "a", everyone, wanted)


def test_a_healthy_cluster_is_left_alone():
    assert step(THREE) is None


def test_an_identity_that_lost_its_disk_goes_before_its_successor_comes():
    without = admit(THREE, "c2", "3:1")
    assert without == Members({"a": "1:1", "b": "2:1"}, {})
    learner = admit(without, "c2", "3:1")
    assert learner.learners == {"c2": "3:1"}
    assert step(learner, c2=BEHIND) is None
    assert step(learner).voters.keys() == {"a", "b", "c2"}


def test_admission_is_idempotent():
    once = admit(THREE, "d", "4:1")
    assert admit(once, "d", "4:1") == once


def test_a_silent_voter_makes_room_for_a_member_in_reserve():
    members = Members(THREE.voters, {"d": "4:1"})
    shrunk = step(members, c=SILENT)
    assert shrunk.voters.keys() == {"a", "b"}
    assert step(shrunk).voters.keys() == {"a", "b", "d"}


def test_a_silent_voter_stays_while_nobody_can_take_its_place():
    assert step(THREE, c=SILENT) is None
    assert step(Members(THREE.voters, {"d": "4:1"}), c=SILENT, d=BEHIND) is None


def test_nothing_changes_without_a_majority_that_answers():
    members = Members(THREE.voters, {"d": "4:1"})
    assert step(members, b=SILENT, c=SILENT) is None


def test_each_step_changes_one_voter_at_most():
    members = Members(THREE.voters, {"d": "4:1", "e": "5:1"})
    for _ in range(6):
        changed = step(members, wanted=5, c=SILENT)
        if changed is None:
            break
        assert len(set(changed.voters) ^ set(members.voters)) <= 1
        members = changed
    assert "a" in members.voters


def test_the_leader_never_removes_itself():
    five = Members({name: f"{name}:1" for name in "abcde"}, {})
    assert "a" in step(five, wanted=3).voters
