"""Acceptance of configurations by their version: the highest one holds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.consensus.core import NotLeader
from fulmarhold.consensus.node import NotFormed, OutcomeUnknown
from fulmarhold.control.machine import encode_command
from fulmarhold.errors import FulmarholdError, PeerUnavailable
from fulmarhold.membership.feed import (
    AcceptVersion,
    ReadVersion,
    SubmitVersion,
    VersionRead,
    VersionStored,
)
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.links import Links
from fulmarhold.wire.messages import Failure

if TYPE_CHECKING:
    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.control.machine import ControlMachine
    from fulmarhold.observe.counters import Counters
    from fulmarhold.wire.server import MessageServer

log = get_logger("versions")

# Operators give a call up after a second; what is not decided by then is not worth waiting for.
DECISION_TIMEOUT: Milliseconds = 850.0


class Undecided(FulmarholdError):
    """No majority decided in time; what was asked may or may not come into force."""


class VersionService:
    """Stores and reads configurations, here or at the leader."""

    def __init__(
        self, node: Node, machine: ControlMachine, clock: Clock, counters: Counters
    ) -> None:
        self._node = node
        self._machine = machine
        self._clock = clock
        self._counters = counters
        self._links = Links()

    def register(self, server: MessageServer) -> None:
        """File the handlers of what other control instances pass on."""
        server.handle(SubmitVersion, self._store_here)
        server.handle(ReadVersion, self._read_here)

    def store(self, version: int, document: bytes) -> int:
        """Store a checked configuration and return the highest version that is stored.

        Raises `Undecided` when no majority confirmed it in time.
        """
        if self._node.is_formed and 0 < version <= self._machine.state.routes_version:
            # What this member has applied was committed and stays the least that holds.
            return self._machine.state.routes_version
        stored = self._ask_leader(SubmitVersion(version, document), self._store_here)
        log.info("version {} was submitted, version {} is stored", version, stored.version)
        return int(stored.version)

    def read(self) -> VersionRead:
        """Return the newest configuration, confirmed by a majority; raises `Undecided`."""
        reply = self._ask_leader(ReadVersion(), self._read_here)
        if not isinstance(reply, VersionRead):
            raise Undecided(f"unexpected reply {reply!r:.80}", step="reading")
        return reply

    def _ask_leader(self, request: Any, serve_here: Any) -> Any:
        leader = self._node.leader_endpoint
        try:
            if self._node.is_formed and self._node.core.is_leader:
                reply = serve_here(request)
            elif leader is None:
                raise Undecided("knows no leader", step=type(request).__name__)
            else:
                reply = self._links.to(leader).call(request, DECISION_TIMEOUT)
        except PeerUnavailable as error:
            self._counters.add("version_refusals", reason="leader_unavailable")
            raise Undecided(str(error), step="asking the leader", peer=leader or "") from error
        if isinstance(reply, Failure):
            self._counters.add("version_refusals", reason=reply.reason)
            raise Undecided(f"{reply.reason} {reply.detail}", step=type(request).__name__)
        return reply

    def _store_here(self, request: SubmitVersion) -> Any:
        command = AcceptVersion(request.version, request.document, self._clock.wall())
        try:
            with gevent.Timeout(DECISION_TIMEOUT / SECOND, OutcomeUnknown("no majority in time")):
                return VersionStored(self._node.propose(encode_command(command)))
        except (NotLeader, NotFormed, OutcomeUnknown) as error:
            return Failure(type(error).__name__, str(error))

    def _read_here(self, _: ReadVersion) -> Any:
        try:
            self._node.confirm_leadership(DECISION_TIMEOUT)
        except (NotLeader, NotFormed) as error:
            return Failure(type(error).__name__, str(error))
        state = self._machine.state
        return VersionRead(state.routes_version, state.routes_document)
