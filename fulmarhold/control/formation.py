"""Forms the cluster from the first seeds, and admits instances that start later or return."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.consensus.core import NotLeader
from fulmarhold.consensus.founding import FoundingRequest
from fulmarhold.control.founding import Founder
from fulmarhold.control.voter_changes import MemberHealth, admit, next_members
from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.feed import JoinCluster
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.links import Links
from fulmarhold.wire.messages import Done, Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.wire.server import MessageServer

log = get_logger("formation")

ATTEMPT_PERIOD: Milliseconds = 150.0
HOUSEKEEPING_PERIOD: Milliseconds = 200.0
CALL_TIMEOUT: Milliseconds = 500.0
# A member that the leader has removed gets no more heartbeats, which otherwise come every 100 ms.
REJOIN_TIMEOUT: Milliseconds = 1_500.0
# Allows for two syncs of a slow disk and the round trips between data centres; after a timeout the
# next step tries again.
MEMBERSHIP_CHANGE_TIMEOUT: Milliseconds = 2_000.0


class Formation:
    """Keeps this control instance in its cluster and, while it leads, the voters complete."""

    def __init__(
        self,
        node: Node,
        own_endpoint: str,
        seeds: Callable[[], tuple[str, ...]],
        is_first_start: bool,
        target_voters: int,
        clock: Clock,
    ) -> None:
        self._node = node
        self._own_endpoint = own_endpoint
        self._seeds = seeds
        self._target_voters = target_voters
        self._clock = clock
        self._links = Links()
        self._founder = Founder(node, own_endpoint, seeds, is_first_start, self._call, clock)

    def register(self, server: MessageServer) -> None:
        """Register the handlers of the messages that form and join a cluster."""
        server.handle(FoundingRequest, self._founder.handle)
        server.handle(JoinCluster, self._handle_join)

    def run(self) -> None:
        """Form or join the cluster, rejoin it after a removal, and change its voters if leading."""
        while True:
            try:
                self._step()
            except FulmarholdError as error:
                log.info("cluster membership not settled yet: {}", error)
            gevent.sleep((HOUSEKEEPING_PERIOD if self._node.is_formed else ATTEMPT_PERIOD) / SECOND)

    def _step(self) -> None:
        if not self._node.is_formed:
            if self._founder.takes_part:
                self._founder.step()
            if not self._node.is_formed:
                self._ask_to_join()
        elif self._node.core.is_leader:
            self._reconcile_members()
        elif self._node.confirmed_age() > REJOIN_TIMEOUT:
            self._ask_to_join()

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
                log.debug("{} did not admit this instance: {}", endpoint, error)

    def _handle_join(self, request: JoinCluster) -> Any:
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
            log.info("admitting {} at {}", request.identity, request.endpoint)
            self._change(partial(admit, identity=request.identity, endpoint=request.endpoint))
        return Done()

    def _reconcile_members(self) -> None:
        core = self._node.core
        now = self._clock.now()
        health = {
            identity: MemberHealth(
                now - max(core.acknowledged_at(identity), core.leader_since),
                core.match_index(identity) >= core.commit_index,
            )
            for identity in core.members.all_members
        }
        changed = next_members(core.members, core.identity, health, self._target_voters)
        if changed is None:
            return
        log.info(
            "changing the voters from {} to {}", sorted(core.members.voters), sorted(changed.voters)
        )
        self._change(lambda _: changed)

    def _change(self, change: Any) -> None:
        with gevent.Timeout(MEMBERSHIP_CHANGE_TIMEOUT / SECOND, NotLeader(None)):
            self._node.change_members(change)

    def _call(self, endpoint: str, request: Any) -> Any:
        return self._links.to(endpoint).call(request, CALL_TIMEOUT)
