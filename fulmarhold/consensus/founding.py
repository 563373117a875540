"""Agreement of the first seeds on one cluster, as pure decisions without I/O.

The seeds of the first start choose the identity of the cluster and its first voters with one
instance of Paxos. Each seed is an acceptor that stores its vote before it answers. A round that a
majority of the seeds promises and accepts decides; a later round finds what an earlier one may have
decided and proposes it again. So any majority can found the cluster, and only one can be founded.

A vote belongs to the identity on the disk that holds it. A seed knows the others by the identities
that it met first: one that comes back with an empty disk has a new identity and no vote any more.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fulmarhold.wire.messages import message

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


@dataclass(frozen=True, order=True)
class Ballot:
    """The number of a round; the identity of the proposer makes it unique."""

    number: int
    proposer: str


NO_BALLOT = Ballot(0, "")


@dataclass(frozen=True)
class Proposal:
    """What the seeds agree on: the cluster and the endpoints of its first voters by identity."""

    cluster: str
    voters: dict[str, str]


@dataclass(frozen=True)
class FoundingVote:
    """What a seed has stored: the identities that it knows by endpoint, and what it promised."""

    seeds: tuple[str, ...]
    known: dict[str, str]
    promised: Ballot = NO_BALLOT
    accepted_in: Ballot = NO_BALLOT
    accepted: Proposal | None = None

    @property
    def quorum(self) -> int:
        """The number of seeds that decide."""
        return len(self.seeds) // 2 + 1


@message
class FoundingRequest:
    """Asks a seed for its part in the founding.

    Without a ballot it only introduces the sender; without a proposal it asks for a promise, and
    with one for its acceptance.
    """

    endpoint: str
    identity: str
    ballot: Ballot = NO_BALLOT
    proposal: Proposal | None = None


@message
class FoundingReply:
    """Tells what a seed has promised and accepted; `cluster` once it belongs to one."""

    identity: str
    cluster: str
    has_vote: bool
    is_known: bool
    is_granted: bool
    promised: Ballot = NO_BALLOT
    accepted_in: Ballot = NO_BALLOT
    accepted: Proposal | None = None


def recognise(vote: FoundingVote, endpoint: str, identity: str) -> FoundingVote | None:
    """Return the vote with a seed's identity noted, or `None` if it is no seed or another one."""
    if endpoint not in vote.seeds or vote.known.get(endpoint, identity) != identity:
        return None
    return replace(vote, known={**vote.known, endpoint: identity})


def promise(vote: FoundingVote, ballot: Ballot) -> FoundingVote | None:
    """Return the vote with the promise to ignore earlier rounds, or `None` if it is refused."""
    return replace(vote, promised=ballot) if ballot >= vote.promised else None


def accept(vote: FoundingVote, ballot: Ballot, proposal: Proposal) -> FoundingVote | None:
    """Return the vote with an accepted proposal, or `None` if a later round has a promise."""
    if ballot < vote.promised:
        return None
    return replace(vote, promised=ballot, accepted_in=ballot, accepted=proposal)


def answer(
    vote: FoundingVote | None, request: FoundingRequest, identity: str, cluster: str
) -> tuple[FoundingVote | None, FoundingReply]:
    """Return the vote to store before the reply is sent, and the reply.

    A member without a vote takes no part: it has not introduced itself yet, or it started after the
    first start.
    """
    if vote is None:
        return None, FoundingReply(
            identity, cluster, has_vote=False, is_known=True, is_granted=False
        )
    known = recognise(vote, request.endpoint, request.identity)
    if known is None:
        return vote, FoundingReply(
            identity, cluster, has_vote=True, is_known=False, is_granted=False
        )
    granted: FoundingVote | None = None
    if request.ballot != NO_BALLOT:
        if request.proposal is None:
            granted = promise(known, request.ballot)
        else:
            granted = accept(known, request.ballot, request.proposal)
    stored = granted or known
    return stored, FoundingReply(
        identity,
        cluster,
        has_vote=True,
        is_known=True,
        is_granted=granted is not None,
        promised=stored.promised,
        accepted_in=stored.accepted_in,
        accepted=stored.accepted,
    )


def may_vote(replies: Iterable[FoundingReply]) -> bool:
    """Whether a member with an empty disk may vote, after introducing itself to the other seeds.

    It may not if one of them knows its endpoint by another identity, whose vote is lost, or belongs
    to a cluster already.
    """
    return all(reply.is_known and not reply.cluster for reply in replies)


class FoundingRound:
    """One round of a proposer, which counts the answers of the seeds, its own included."""

    def __init__(self, vote: FoundingVote, identity: str) -> None:
        self.ballot = Ballot(vote.promised.number + 1, identity)
        self._quorum = vote.quorum
        self._promises: dict[str, FoundingReply] = {}
        self._acceptances: set[str] = set()

    def add_promise(self, endpoint: str, reply: FoundingReply) -> None:
        """Count a promise of a seed that the proposer's own vote recognises."""
        if reply.is_granted:
            self._promises[endpoint] = reply

    def propose(self, cluster: str, known: Mapping[str, str]) -> Proposal | None:
        """Return the proposal of this round, or `None` without the promises of a quorum.

        What was accepted in the latest earlier round may be decided and is proposed again;
        otherwise it is the given new cluster of all known seeds, also those that are away now.
        """
        if len(self._promises) < self._quorum:
            return None
        latest = max(self._promises.values(), key=lambda reply: reply.accepted_in)
        if latest.accepted is not None:
            return latest.accepted
        return Proposal(cluster, {identity: endpoint for endpoint, identity in known.items()})

    def add_acceptance(self, endpoint: str, reply: FoundingReply) -> None:
        """Count the acceptance of a seed that the proposer's own vote recognises."""
        if reply.is_granted:
            self._acceptances.add(endpoint)

    @property
    def is_decided(self) -> bool:
        return len(self._acceptances) >= self._quorum
