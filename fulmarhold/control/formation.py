"""Forms the cluster from the first seeds, and brings later or returning instances into it."""

from __future__ import annotations

import uuid
from functools import partial
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.consensus.core import NotLeader
from fulmarhold.control.succession import MemberHealth, admit, next_members
from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.feed import IdentityReply, IdentityRequest, JoinCluster
from fulmarhold.observe.logs import part_log
from fulmarhold.wire.links import Links
from fulmarhold.wire.messages import Done, Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.wire.server import MessageServer

log = part_log("formation")

ATTEMPT_PERIOD: Milliseconds = 150.0
HOUSEKEEPING_PERIOD: Milliseconds = 200.0
CALL_TIMEOUT: Milliseconds = 500.0
# A member that its leader has dropped hears nothing any more; heartbeats come every 150 ms.
UNHEARD_BEFORE_JOINING: Milliseconds = 1_500.0
# Two syncs of a slow disk and the trips between data centres; then the next round tries again.
LONGEST_CHANGE: Milliseconds = 2_000.0


class Formation:
    """Keeps this control instance in its cluster, and the cluster's voters complete."""

    def __init__(
        self,
        node: Node,
        own_endpoint: str,
        seeds: Callable[[], tuple[str, ...]],
        is_first_start: bool,
        voters_wanted: int,
        clock: Clock,
    ) -> None:
        self._node = node
        self._own_endpoint = own_endpoint
        self._seeds = seeds
        self._is_first_start = is_first_start
        self._voters_wanted = voters_wanted
        self._clock = clock
        self._links = Links()

    def register(self, server: MessageServer) -> None:
        """File the handlers of the messages by which instances find each other."""
        server.handle(IdentityRequest, self._tell_identity)
        server.handle(JoinCluster, self._take_in)

    def run(self) -> None:
        """Form or join the cluster, return to it after a loss, and lead its changes."""
        while True:
            try:
                self._step()
            except FulmarholdError as error:
                log.info("not settled in the cluster yet: {}", error)
            gevent.sleep((HOUSEKEEPING_PERIOD if self._node.is_formed else ATTEMPT_PERIOD) / SECOND)

    def _step(self) -> None:
        if not self._node.is_formed:
            seeds = self._seeds()
            if self._is_first_start and seeds and min(seeds) == self._own_endpoint:
                self._form(seeds)
            else:
                self._ask_to_join()
        elif self._node.core.is_leader:
            self._complete_voters()
        elif self._node.confirmed_age() > UNHEARD_BEFORE_JOINING:
            self._ask_to_join()

    def _form(self, seeds: tuple[str, ...]) -> None:
        voters = {self._node.identity: self._own_endpoint}
        for endpoint in seeds:
            if endpoint == self._own_endpoint:
                continue
            reply = self._call(endpoint, IdentityRequest())
            if reply.cluster:
                log.info("{} belongs to a cluster already; asks to join it", endpoint)
                self._is_first_start = False
                return
            voters[reply.identity] = endpoint
        self._node.form(uuid.uuid4().hex, voters)

    def _ask_to_join(self) -> None:
        known = self._node.core.members.all_members.values() if self._node.is_formed else ()
        request = JoinCluster(self._node.identity, self._own_endpoint)
        for endpoint in dict.fromkeys((*self._seeds(), *known)):
            if endpoint == self._own_endpoint:
                continue
            try:
                self._call(endpoint, request)
                return
            except FulmarholdError as error:
                log.debug("{} did not take this instance in: {}", endpoint, error)

    def _tell_identity(self, _: IdentityRequest) -> IdentityReply:
        return IdentityReply(self._node.identity, self._node.cluster)

    def _take_in(self, request: JoinCluster) -> Any:
        if not self._node.is_formed:
            return Failure("not_formed")
        core = self._node.core
        if not core.is_leader:
            leader = self._node.leader_endpoint
            if leader is None or leader == request.endpoint:
                return Failure("no_leader")
            return self._call(leader, request)
        members = core.members
        if admit(members, request.identity, request.endpoint) != members:
            log.info("takes in {} at {}", request.identity, request.endpoint)
            self._change(partial(admit, identity=request.identity, endpoint=request.endpoint))
        return Done()

    def _complete_voters(self) -> None:
        core = self._node.core
        now = self._clock.now()
        health = {
            identity: MemberHealth(
                now - max(core.acknowledged_at(identity), core.leader_since),
                core.match_index(identity) >= core.commit_index,
            )
            for identity in core.members.all_members
        }
        wanted = next_members(core.members, core.identity, health, self._voters_wanted)
        if wanted is None:
            return
        log.info(
            "changes the voters from {} to {}", sorted(core.members.voters), sorted(wanted.voters)
        )
        self._change(lambda _: wanted)

    def _change(self, change: Any) -> None:
        with gevent.Timeout(LONGEST_CHANGE / SECOND, NotLeader(None)):
            self._node.change_members(change)

    def _call(self, endpoint: str, request: Any) -> Any:
        return self._links.to(endpoint).call(request, CALL_TIMEOUT)
