"""Which change of the voters comes next: a pure decision of the leader.

A voter that lost its disk returns under a new identity, so the old one is removed and the new one
admitted once it has caught up. A voter that is silent for long is replaced by a member in reserve.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.clock import MINUTE, Milliseconds
from fulmarhold.consensus.messages import Members

if TYPE_CHECKING:
    from collections.abc import Mapping

# Longer than a short freeze or a restart (about 0.5 s) and two election timeouts (2 s each), so
# that neither costs a change of members.
VOTER_SILENCE: Milliseconds = 2_500.0
# A learner costs replication only; it may stay away for a repair of its machine.
LEARNER_SILENCE: Milliseconds = 2 * MINUTE


@dataclass(frozen=True)
class MemberHealth:
    """What the leader knows of one other member."""

    silent_for: Milliseconds
    has_caught_up: bool


def next_members(
    members: Members, own: str, health: Mapping[str, MemberHealth], voters_wanted: int
) -> Members | None:
    """Return the members after the next change, at most one voter at a time, or `None`."""
    reserve = [
        identity
        for identity in members.learners
        if health[identity].has_caught_up and health[identity].silent_for < VOTER_SILENCE
    ]
    if reserve and len(members.voters) < voters_wanted:
        return promote(members, reserve[0])
    silent = [
        identity
        for identity in members.voters
        if identity != own and health[identity].silent_for >= VOTER_SILENCE
    ]
    answering = len(members.voters) - len(silent)
    if reserve and silent and answering >= members.quorum:
        return remove(members, max(silent, key=lambda item: health[item].silent_for))
    if len(members.voters) > voters_wanted:
        others = [identity for identity in members.voters if identity != own]
        return remove(members, max(others, key=lambda item: health[item].silent_for))
    for identity in members.learners:
        if health[identity].silent_for >= LEARNER_SILENCE:
            return remove(members, identity)
    return None


def admit(members: Members, identity: str, endpoint: str) -> Members:
    """Return the members with one more that does not vote yet.

    One that holds the endpoint under another identity has lost its disk and goes first.
    """
    for other, known in members.all_members.items():
        if known == endpoint and other != identity:
            return remove(members, other)
    if identity in members.all_members:
        return members
    return Members(members.voters, {**members.learners, identity: endpoint})


def promote(members: Members, identity: str) -> Members:
    """Return the members with a learner made a voter."""
    endpoint = members.learners[identity]
    return Members({**members.voters, identity: endpoint}, _without(members.learners, identity))


def remove(members: Members, identity: str) -> Members:
    """Return the members without one of them."""
    return Members(_without(members.voters, identity), _without(members.learners, identity))


def _without(mapping: dict[str, str], key: str) -> dict[str, str]:
    return {name: value for name, value in mapping.items() if name != key}
