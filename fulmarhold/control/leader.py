"""Requests of operators that the leader decides: forwarded to it, and proposed there."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.consensus.core import NotLeader
from fulmarhold.consensus.node import NotFormed, OutcomeUnknown
from fulmarhold.control.machine import encode_command
from fulmarhold.errors import FulmarholdError, PeerUnavailable
from fulmarhold.wire.links import Links
from fulmarhold.wire.messages import Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.consensus.node import Node
    from fulmarhold.observe.counters import Counters

# Operators' clients give up a call after one second; a decision must reach them before that.
DECISION_TIMEOUT: Milliseconds = 850.0


class Undecided(FulmarholdError):
    """No majority decided in time; what was submitted may or may not come into force."""


class LeaderCalls:
    """Has requests decided on this instance if it leads, and else on the leader.

    Failures are counted by reason under the name `refusals`.
    """

    def __init__(self, node: Node, counters: Counters, refusals: str) -> None:
        self._node = node
        self._counters = counters
        self._refusals = refusals
        self._links = Links()

    def ask(
        self,
        request: Any,
        serve_here: Callable[[Any], Any],
        timeout: Milliseconds = DECISION_TIMEOUT,
    ) -> Any:
        """Return the leader's reply; raises `Undecided` without one within `timeout`."""
        leader = self._node.leader_endpoint
        try:
            if self._node.is_formed and self._node.core.is_leader:
                reply = serve_here(request)
            elif leader is None:
                raise Undecided("no known leader", step=type(request).__name__)
            else:
                reply = self._links.to(leader).call(request, timeout)
        except PeerUnavailable as error:
            self._counters.add(self._refusals, reason="leader_unavailable")
            raise Undecided(str(error), step="asking the leader", peer=leader or "") from error
        if isinstance(reply, Failure):
            self._counters.add(self._refusals, reason=reply.reason)
            raise Undecided(f"{reply.reason} {reply.detail}", step=type(request).__name__)
        return reply

    def propose(self, command: Any, timeout: Milliseconds = DECISION_TIMEOUT) -> Any:
        """Return the outcome of a command that this instance proposes, or a `Failure`."""
        try:
            with gevent.Timeout(timeout / SECOND, OutcomeUnknown("no majority in time")):
                return self._node.propose(encode_command(command))
        except (NotLeader, NotFormed, OutcomeUnknown) as error:
            return Failure(type(error).__name__, str(error))
