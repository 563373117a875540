"""Stores and reads configurations by version; the highest accepted version is in force."""

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

# Operators' clients give up a call after one second; a decision must reach them before that.
DECISION_TIMEOUT: Milliseconds = 850.0


class Undecided(FulmarholdError):
    """No majority decided in time; a submitted version may or may not come into force."""


class VersionService:
    """Stores and reads configurations, on this instance if it leads and else on the leader."""

    def __init__(
        self, node: Node, machine: ControlMachine, clock: Clock, counters: Counters
    ) -> None:
        self._node = node
        self._machine = machine
        self._clock = clock
        self._counters = counters
        self._links = Links()

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
        stored = self._ask_leader(SubmitVersion(version, document), self._store_here)
        log.info("submitted version {}, stored version is {}", version, stored.version)
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
                raise Undecided("no known leader", step=type(request).__name__)
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
