"""Decides, as pure functions for the leader, which change of the cluster's members comes next.

A voter that lost its disk returns under a new identity: the old identity is removed, and the new
one is promoted once it has caught up. A voter that is silent for long is replaced by a learner that
has caught up.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.clock import MINUTE, Milliseconds
from fulmarhold.consensus.messages import Members

if TYPE_CHECKING:
    from collections.abc import Mapping

# Longer than a short freeze or a restart (about 0.5 s) and two election timeouts (at most 0.9 s
# each), so that neither causes a change of members.
VOTER_SILENCE_LIMIT: Milliseconds = 2_500.0
# An absent learner costs only replication, so it may stay away while its machine is repaired.
LEARNER_SILENCE_LIMIT: Milliseconds = 2 * MINUTE


@dataclass(frozen=True)
class MemberHealth:
    """What the leader knows of one other member."""

    silent_for: Milliseconds
    has_caught_up: bool


def next_members(
    members: Members, own: str, health: Mapping[str, MemberHealth], target_voters: int
) -> Members | None:
    """Return the members after the next change, which affects one voter at most, or `None`."""
    caught_up_learners = [
        identity
        for identity in members.learners
        if health[identity].has_caught_up and health[identity].silent_for < VOTER_SILENCE_LIMIT
    ]
    if caught_up_learners and len(members.voters) < target_voters:
        return promote(members, caught_up_learners[0])
    silent = [
        identity
        for identity in members.voters
        if identity != own and health[identity].silent_for >= VOTER_SILENCE_LIMIT
    ]
    responsive_voters = len(members.voters) - len(silent)
    if caught_up_learners and silent and responsive_voters >= members.quorum:
        return remove(members, max(silent, key=lambda item: health[item].silent_for))
    if len(members.voters) > target_voters:
        others = [identity for identity in members.voters if identity != own]
        return remove(members, max(others, key=lambda item: health[item].silent_for))
    for identity in members.learners:
        if health[identity].silent_for >= LEARNER_SILENCE_LIMIT:
            return remove(members, identity)
    return None


def admit(members: Members, identity: str, endpoint: str) -> Members:
    """Return the members with one more learner.

    A member with the same endpoint but another identity has lost its disk and is removed first.
    """
    for other, known in members.all_members.items():
        if known == endpoint and other != identity:
            return remove(members, other)
    if identity in members.all_members:
        return members
    return Members(members.voters, {**members.learners, identity: endpoint})


def promote(members: Members, identity: str) -> Members:
    """Return the members with a learner promoted to voter."""
    endpoint = members.learners[identity]
    return Members({**members.voters, identity: endpoint}, _without(members.learners, identity))


def remove(members: Members, identity: str) -> Members:
    """Return the members without the given one."""
    return Members(_without(members.voters, identity), _without(members.learners, identity))


def _without(mapping: dict[str, str], key: str) -> dict[str, str]:
    return {name: value for name, value in mapping.items() if name != key}
