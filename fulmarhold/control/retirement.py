"""Records departures of upstreams in the replicated log and on other control instances."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.control.continuing import ContinuingUpstreams
from fulmarhold.control.machine import encode_command, has_retired
from fulmarhold.control.state import retirement_key
from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.feed import RetireUpstream
from fulmarhold.membership.statements import DRAINING, LEFT, READY, UpstreamStatement
from fulmarhold.membership.validity import retirement_problem
from fulmarhold.observe.limited import LimitedLog
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.messages import Done, Failure

if TYPE_CHECKING:
    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.control.machine import ControlMachine
    from fulmarhold.control.sharing import StatementSharing
    from fulmarhold.observe.counters import Counters

log = get_logger("retirement")

# Upstreams wait one second for an acknowledgement; recording a departure may take part of that.
RECORDING_TIMEOUT: Milliseconds = 400.0


class Retirements:
    """Makes departures durable, so that no single failure undoes an acknowledged one."""

    def __init__(
        self,
        node: Node,
        machine: ControlMachine,
        sharing: StatementSharing,
        lateness: Milliseconds,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._node = node
        self._machine = machine
        self._sharing = sharing
        self._continuing = ContinuingUpstreams(lateness)
        self._clock = clock
        self._counters = counters
        self._refusals = LimitedLog(log, clock)
        # The names of upstreams whose departure is being logged anew.
        self._logging: set[str] = set()

    def apply_retirement(self, statement: UpstreamStatement) -> UpstreamStatement:
        """Return the statement, changed if the log has retired its incarnation.

        It is then draining, or has left if its departure named no start.
        """
        if statement.state in (DRAINING, LEFT):
            return statement
        born, first = self._departure(statement)
        if statement.born > born:
            return statement
        return replace(statement, state=DRAINING if first is None else LEFT)

    def incarnation_of(self, statement: UpstreamStatement) -> int:
        """Return the number of the incarnation that runs, or may run, since the stated start.

        It is `born` itself, unless a departure that named no start has ended that incarnation. If
        it goes on, it counts as a new one, numbered next, which supersedes the departure on every
        instance. Another control instance may know that one already.
        """
        retired, first = self._departure(statement)
        is_doubted = first is not None and first <= statement.born <= retired
        return retired + 1 if is_doubted else statement.born

    def _departure(self, statement: UpstreamStatement) -> tuple[int, int | None]:
        """Return the newest incarnation of an upstream that has left, -1 without any.

        The second value is the start that it states if its departure named none.
        """
        state = self._machine.state
        # Departures that an earlier release has logged are of any service.
        keys = retirement_key(statement.name, statement.service), statement.name
        born, key = max((state.retired.get(key, -1), key) for key in keys)
        return born, state.doubted.get(key)

    def apply_to_heartbeat(
        self, statement: UpstreamStatement, known: UpstreamStatement | None
    ) -> UpstreamStatement:
        """Return what an upstream says of itself with the incarnation for which it counts."""
        born = self.incarnation_of(statement)
        if statement.state == READY:
            if known is not None and known.born == born:
                if known.state == LEFT:
                    self._complete_log(known)
            elif born != statement.born and not self._is_continuing(statement):
                return replace(statement, state=LEFT)
        return self.apply_retirement(replace(statement, born=born))

    def _complete_log(self, left: UpstreamStatement) -> None:
        """Log a departure without a start of an upstream that is heard, if only peers know it.

        There was no leader then. Without the log, nothing would supersede the departure.
        """
        command = self._command(left, names_start=False)
        name = left.name
        if name not in self._logging and not has_retired(self._machine.state, command):
            self._logging.add(name)
            gevent.spawn(self._log, command).rawlink(lambda _: self._logging.discard(name))

    def _command(self, statement: UpstreamStatement, *, names_start: bool) -> RetireUpstream:
        wall = self._clock.wall()
        return RetireUpstream(statement.name, statement.born, wall, names_start, statement.service)

    def _is_continuing(self, statement: UpstreamStatement) -> bool:
        """Whether an upstream goes on, though a departure that named no start has ended it."""
        if not self._continuing.note(statement, self._clock.now()):
            return False
        self._continuing.end(statement)
        self._counters.add("departures", result="taken_back")
        log.warning(
            "upstream {} of {} goes on (born {}, sequence {}) after a departure that named no "
            "start; it is used again",
            statement.name,
            statement.service,
            statement.born,
            statement.sequence,
        )
        return True

    def forget_ended(self, now: Milliseconds) -> None:
        """Forget the upstreams that have sent no heartbeat for long after their departure."""
        self._continuing.forget_ended(now)

    def record_departure(self, statement: UpstreamStatement, *, names_start: bool = True) -> bool:
        """Record a departure in the log and on peers; returns whether it may be acknowledged."""
        replies = self._sharing.share((statement,))
        command = self._command(statement, names_start=names_start)
        self._counters.add("departures", result="start_named" if names_start else "no_start_named")
        logged = gevent.spawn(self._log, command)
        gevent.joinall([logged, *replies], timeout=RECORDING_TIMEOUT / SECOND)
        is_logged = bool(logged.ready() and logged.value)
        acknowledged = sum(1 for reply in replies if reply.ready() and reply.value)
        log.info(
            "departure of {} (born {}, {}): logged {}, acknowledged by {} of {} other control "
            "instances",
            statement.name,
            statement.born,
            "named" if names_start else "the newest known, none was named",
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
        if has_retired(self._machine.state, command):
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
