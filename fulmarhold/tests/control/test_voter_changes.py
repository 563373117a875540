"""Voters that lost their disk or are silent are replaced, one change at a time."""

from __future__ import annotations

from fulmarhold.consensus.messages import Members
from fulmarhold.control.voter_changes import VOTER_SILENCE_LIMIT, MemberHealth, admit, next_members

HEALTHY = MemberHealth(0.0, True)
SILENT = MemberHealth(VOTER_SILENCE_LIMIT, True)
BEHIND = MemberHealth(0.0, False)

THREE = Members({"a": "1:1", "b": "2:1", "c": "3:1"}, {})


def step(members, wanted=3, **health):
    everyone = {name: health.get(name, HEALTHY) for name in members.all_members}
    return next_members(members, "a", everyone, wanted)


def test_a_healthy_cluster_is_not_changed():
    assert step(THREE) is None


def test_the_identity_of_a_lost_disk_is_removed_before_its_successor_is_admitted():
    without = admit(THREE, "c2", "3:1")
    assert without == Members({"a": "1:1", "b": "2:1"}, {})
    learner = admit(without, "c2", "3:1")
    assert learner.learners == {"c2": "3:1"}
    assert step(learner, c2=BEHIND) is None
    assert step(learner).voters.keys() == {"a", "b", "c2"}


def test_admission_is_idempotent():
    once = admit(THREE, "d", "4:1")
    assert admit(once, "d", "4:1") == once


def test_a_silent_voter_is_replaced_by_a_learner_that_has_caught_up():
    members = Members(THREE.voters, {"d": "4:1"})
    shrunk = step(members, c=SILENT)
    assert shrunk.voters.keys() == {"a", "b"}
    assert step(shrunk).voters.keys() == {"a", "b", "d"}


def test_a_silent_voter_stays_without_a_learner_that_has_caught_up():
    assert step(THREE, c=SILENT) is None
    assert step(Members(THREE.voters, {"d": "4:1"}), c=SILENT, d=BEHIND) is None


def test_members_do_not_change_without_a_responsive_majority():
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
