"""Stores and reads configurations by version; the highest accepted version is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from fulmarhold.consensus.core import NotLeader
from fulmarhold.consensus.node import NotFormed
from fulmarhold.control.leader import DECISION_TIMEOUT, LeaderCalls, Undecided
from fulmarhold.membership.feed import (
    AcceptVersion,
    ReadVersion,
    SubmitVersion,
    VersionRead,
    VersionStored,
)
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.messages import Failure

if TYPE_CHECKING:
    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.control.machine import ControlMachine
    from fulmarhold.observe.counters import Counters
    from fulmarhold.wire.server import MessageServer

log = get_logger("versions")


class VersionService:
    """Stores and reads configurations, on this instance if it leads and else on the leader."""

    def __init__(
        self, node: Node, machine: ControlMachine, clock: Clock, counters: Counters
    ) -> None:
        self._node = node
        self._machine = machine
        self._clock = clock
        self._leader = LeaderCalls(node, counters, "version_refusals")

    def register(self, server: MessageServer) -> None:
        """Register the handlers of requests that other control instances forward."""
        server.handle(SubmitVersion, self._store_here)
        server.handle(ReadVersion, self._read_here)

    def store(self, version: int, document: bytes) -> int:
        """Store a validated configuration and return the highest version that is stored.

        Raises `Undecided` when no majority confirmed it in time.
        """
        if self._node.is_formed and 0 < version <= self._machine.state.routes_version:
            # An applied version is committed, and the stored version never decreases.
            return self._machine.state.routes_version
        stored = self._leader.ask(SubmitVersion(version, document), self._store_here)
        log.info("submitted version {}, stored version is {}", version, stored.version)
        return int(stored.version)

    def read(self) -> VersionRead:
        """Return the newest configuration, confirmed by a majority; raises `Undecided`."""
        reply = self._leader.ask(ReadVersion(), self._read_here)
        if not isinstance(reply, VersionRead):
            raise Undecided(f"unexpected reply {reply!r:.80}", step="reading")
        return reply

    def _store_here(self, request: SubmitVersion) -> Any:
        command = AcceptVersion(request.version, request.document, self._clock.wall())
        outcome = self._leader.propose(command)
        return outcome if isinstance(outcome, Failure) else VersionStored(outcome)

    def _read_here(self, _: ReadVersion) -> Any:
        try:
            self._node.confirm_leadership(DECISION_TIMEOUT)
        except (NotLeader, NotFormed) as error:
            return Failure(type(error).__name__, str(error))
        state = self._machine.state
        return VersionRead(state.routes_version, state.routes_document)
