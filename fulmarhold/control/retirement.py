"""Upstreams that leave: remembered in the replicated log, and told to other control instances."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.control.machine import encode_command
from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.feed import RetireUpstream
from fulmarhold.membership.statements import DRAINING, LEFT, UpstreamStatement
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.messages import Done, Failure

if TYPE_CHECKING:
    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.control.machine import ControlMachine
    from fulmarhold.control.sharing import Sharing

log = get_logger("retirement")

# Upstreams wait one second for an acknowledgement; handing it over may use part of that.
HANDOVER_TIMEOUT: Milliseconds = 400.0


class Retirements:
    """Sees to it that no single loss undoes what an upstream was acknowledged."""

    def __init__(self, node: Node, machine: ControlMachine, sharing: Sharing, clock: Clock) -> None:
        self._node = node
        self._machine = machine
        self._sharing = sharing
        self._clock = clock

    def correct(self, statement: UpstreamStatement) -> UpstreamStatement:
        """Return the statement, corrected by what the log remembers of this incarnation."""
        born = self._machine.state.retired.get(statement.name)
        if born is not None and statement.born <= born and statement.state not in (DRAINING, LEFT):
            return replace(statement, state=DRAINING)
        return statement

    def hand_over(self, statement: UpstreamStatement) -> bool:
        """Log and share that an upstream leaves; returns whether it may be acknowledged."""
        replies = self._sharing.share((statement,))
        command = RetireUpstream(statement.name, statement.born, self._clock.wall())
        logged = gevent.spawn(self._log, command)
        gevent.joinall([logged, *replies], timeout=HANDOVER_TIMEOUT / SECOND)
        is_logged = bool(logged.ready() and logged.value)
        told = sum(1 for reply in replies if reply.ready() and reply.value)
        log.info(
            "{} leaves: in the log {}, told {} of {} control instances",
            statement.name,
            is_logged,
            told,
            len(replies),
        )
        return is_logged or told >= self._others_needed()

    def _others_needed(self) -> int:
        """Return how many must know beside this instance, so that a loss to be borne spares one."""
        voters = len(self._node.core.members.voters) if self._node.is_formed else 1
        return voters // 2

    def log_for_peer(self, command: RetireUpstream) -> Any:
        """Log a retirement that another control instance passes on."""
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
            log.warning("could not log that {} leaves: {}", command.name, error)
            return False
        return True
