"""Founds the cluster at the first start, together with the other seeds."""

from __future__ import annotations

import uuid
from random import Random
from typing import TYPE_CHECKING

import gevent

from fulmarhold.consensus.founding import (
    FoundingReply,
    FoundingRequest,
    FoundingRound,
    FoundingVote,
    answer,
    may_vote,
    recognise,
)
from fulmarhold.errors import FulmarholdError
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.consensus.founding import Proposal
    from fulmarhold.consensus.node import Node

log = get_logger("founding")

# How long a seed waits for all others before it founds the cluster with a majority of them. With
# all, the cluster bears the loss of one at once.
WAIT_FOR_ALL: Milliseconds = 1_000.0
# The seeds propose one after the other, so that they seldom interrupt each other's rounds.
TURN: Milliseconds = 400.0


class Founder:
    """This seed's part in the founding: it answers the others, and proposes in its turn."""

    def __init__(
        self,
        node: Node,
        own_endpoint: str,
        seeds: Callable[[], tuple[str, ...]],
        is_first_start: bool,
        call: Callable[[str, FoundingRequest], FoundingReply],
        clock: Clock,
    ) -> None:
        self._node = node
        self._own_endpoint = own_endpoint
        self._seeds = seeds
        self._may_begin = is_first_start
        self._is_decided_without = False
        self._call = call
        self._clock = clock
        self._random = Random()
        self._started_at = clock.now()
        self._next_turn_at: Milliseconds | None = None

    @property
    def takes_part(self) -> bool:
        """Whether this seed goes on with the founding, rather than only wait to be admitted."""
        if self._is_decided_without:
            return False
        return self._node.founding_vote is not None or self._may_begin

    def handle(self, request: FoundingRequest) -> FoundingReply:
        """Answer another seed, after storing what the answer promises."""
        vote, reply = answer(
            self._node.founding_vote, request, self._node.identity, self._node.cluster
        )
        if vote is not None and vote != self._node.founding_vote:
            self._node.store_founding_vote(vote)
        return reply

    def step(self) -> None:
        """Introduce this seed to the others or, in its turn, try to found the cluster."""
        vote = self._node.founding_vote
        if vote is None:
            self._introduce()
            return
        rank = sorted(vote.seeds).index(self._own_endpoint)
        if self._next_turn_at is None:
            self._next_turn_at = self._started_at + (
                WAIT_FOR_ALL + rank * TURN if rank > 0 else 0.0
            )
        if self._clock.now() < self._next_turn_at:
            return
        try:
            self._run_round(vote)
        finally:
            if self._clock.now() >= self._started_at + WAIT_FOR_ALL:
                pause = self._random.uniform(1.0, len(vote.seeds)) * TURN
                self._next_turn_at = self._clock.now() + pause

    def _introduce(self) -> None:
        seeds = tuple(sorted(self._seeds()))
        if self._own_endpoint not in seeds:
            self._may_begin = False
            return
        replies = self._ask(FoundingRequest(self._own_endpoint, self._node.identity), seeds)
        if not may_vote(replies.values()):
            log.warning(
                "takes no part in the founding: another seed knows a cluster or a lost disk"
            )
            self._may_begin = False
        elif self._node.founding_vote is None and not self._node.is_formed:
            known = {self._own_endpoint: self._node.identity}
            self._node.store_founding_vote(FoundingVote(seeds, known))

    def _run_round(self, vote: FoundingVote) -> None:
        if self._clock.now() < self._started_at + WAIT_FOR_ALL:
            greeting = FoundingRequest(self._own_endpoint, self._node.identity)
            ready = [reply.has_vote for reply in self._ask(greeting, vote.seeds).values()]
            if sum(ready) < len(vote.seeds) - 1:
                return
        vote = self._node.founding_vote or vote
        current = FoundingRound(vote, self._node.identity)
        request = FoundingRequest(self._own_endpoint, self._node.identity, current.ballot)
        for endpoint, reply in self._ask_all(request, vote.seeds).items():
            current.add_promise(endpoint, reply)
        known = self._node.founding_vote or vote
        proposal = current.propose(uuid.uuid4().hex, known.known)
        if proposal is None:
            return
        request = FoundingRequest(self._own_endpoint, self._node.identity, current.ballot, proposal)
        for endpoint, reply in self._ask_all(request, vote.seeds).items():
            current.add_acceptance(endpoint, reply)
        if current.is_decided:
            self._form(proposal)

    def _form(self, proposal: Proposal) -> None:
        if self._node.is_formed:
            return
        if self._node.identity in proposal.voters:
            self._node.form(proposal.cluster, proposal.voters)
        else:
            self._is_decided_without = True
            log.info("cluster {} was founded without this instance", proposal.cluster)

    def _ask_all(
        self, request: FoundingRequest, seeds: tuple[str, ...]
    ) -> dict[str, FoundingReply]:
        """Ask all seeds, this one first; returns the answers of those that it recognises."""
        replies = {self._own_endpoint: self.handle(request)}
        if not replies[self._own_endpoint].is_granted:
            return {}
        for endpoint, reply in self._ask(request, seeds).items():
            vote = self._node.founding_vote
            known = vote and recognise(vote, endpoint, reply.identity)
            if known is None:
                log.warning("{} has another identity than before; its vote is lost", endpoint)
                continue
            if known != vote:
                self._node.store_founding_vote(known)
            replies[endpoint] = reply
        return replies

    def _ask(self, request: FoundingRequest, seeds: tuple[str, ...]) -> dict[str, FoundingReply]:
        """Ask the other seeds at the same time; returns the answers of those that are reached."""
        replies: dict[str, FoundingReply] = {}

        def ask(endpoint: str) -> None:
            try:
                replies[endpoint] = self._call(endpoint, request)
            except FulmarholdError as error:
                log.debug("{} did not answer for the founding: {}", endpoint, error)

        others = [endpoint for endpoint in seeds if endpoint != self._own_endpoint]
        gevent.joinall([gevent.spawn(ask, endpoint) for endpoint in others])
        return replies
