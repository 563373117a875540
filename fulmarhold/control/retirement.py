"""Records departures of upstreams in the replicated log and on other control instances."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.control.machine import encode_command
from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.feed import RetireUpstream
from fulmarhold.membership.statements import DRAINING, LEFT, UpstreamStatement
from fulmarhold.membership.validity import retirement_problem
from fulmarhold.observe.limited import LimitedLog
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.messages import Done, Failure

if TYPE_CHECKING:
    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.control.machine import ControlMachine
    from fulmarhold.control.sharing import StatementSharing

log = get_logger("retirement")

# Upstreams wait one second for an acknowledgement; recording a departure may take part of that.
RECORDING_TIMEOUT: Milliseconds = 400.0


class Retirements:
    """Makes departures durable, so that no single failure undoes an acknowledged one."""

    def __init__(
        self, node: Node, machine: ControlMachine, sharing: StatementSharing, clock: Clock
    ) -> None:
        self._node = node
        self._machine = machine
        self._sharing = sharing
        self._clock = clock
        self._refusals = LimitedLog(log, clock)

    def apply_retirement(self, statement: UpstreamStatement) -> UpstreamStatement:
        """Return the statement, changed to draining if the log has retired its incarnation."""
        born = self._machine.state.retired.get(statement.name)
        if born is not None and statement.born <= born and statement.state not in (DRAINING, LEFT):
            return replace(statement, state=DRAINING)
        return statement

    def record_departure(self, statement: UpstreamStatement) -> bool:
        """Record a departure in the log and on peers; returns whether it may be acknowledged."""
        replies = self._sharing.share((statement,))
        command = RetireUpstream(statement.name, statement.born, self._clock.wall())
        logged = gevent.spawn(self._log, command)
        gevent.joinall([logged, *replies], timeout=RECORDING_TIMEOUT / SECOND)
        is_logged = bool(logged.ready() and logged.value)
        acknowledged = sum(1 for reply in replies if reply.ready() and reply.value)
        log.info(
            "departure of {}: logged {}, acknowledged by {} of {} other control instances",
            statement.name,
            is_logged,
            acknowledged,
            len(replies),
        )
        return is_logged or acknowledged >= self._required_peers()

    def _required_peers(self) -> int:
        """Return how many peers must also hold a departure, to survive any tolerated loss."""
        voters = len(self._node.core.members.voters) if self._node.is_formed else 1
        return voters // 2

    def log_for_peer(self, command: RetireUpstream) -> Any:
        """Log a retirement that another control instance forwards."""
        problem = retirement_problem(command)
        if problem:
            self._refusals.warning("refused to log a departure: {}", problem)
            return Failure("unusable", problem)
        return Done() if self._log(command) else Failure("not_logged")

    def _log(self, command: RetireUpstream) -> bool:
        if self._machine.state.retired.get(command.name, -1) >= command.born:
            return True
        if not (self._node.is_formed and self._node.core.is_leader):
            leader = self._node.leader_endpoint
            return leader is not None and bool(self._sharing.call(leader, command))
        try:
            self._node.propose(encode_command(command))
        except FulmarholdError as error:
            log.warning("could not log the departure of {}: {}", command.name, error)
            return False
        return True
