"""Serves requests of entries and operators on top of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import gevent
from msgspec import UNSET

from fulmarhold.clock import MINUTE, SECOND
from fulmarhold.configuration import configuration_from_document
from fulmarhold.consensus.core import MembershipRefused, NotLeader
from fulmarhold.consensus.messages import MemberMessage, Members
from fulmarhold.consensus.node import NotFormed, OutcomeUnknown, member_message_handler
from fulmarhold.control.client import CALL_TIMEOUT
from fulmarhold.control.enforcement import Enforcement
from fulmarhold.control.machine import encode_command
from fulmarhold.control.messages import (
    AcceptConfiguration,
    Accepted,
    AdmitEntry,
    ClaimKey,
    CommandPending,
    CommandRefused,
    EntrySync,
    NotLeading,
    RemoveEntry,
    SettleKey,
    Superseded,
    SyncReply,
)
from fulmarhold.errors import FulmarholdError
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.messages import Done, Failure

if TYPE_CHECKING:
    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.consensus.node import Node
    from fulmarhold.control.machine import ControlMachine
    from fulmarhold.control.presence import Presence
    from fulmarhold.observe.counters import Counters
    from fulmarhold.wire.server import MessageServer

log = get_logger("control")

IN_FORCE_TIMEOUT: Milliseconds = 4_500.0
IN_FORCE_CHECK_PERIOD: Milliseconds = 20.0
ENTRY_REMOVAL_TIMEOUT: Milliseconds = 10 * MINUTE
HOUSEKEEPING_PERIOD: Milliseconds = 250.0
# Well below the time after which an entry takes the leader for hung.
PENDING_REPLY_TIME: Milliseconds = 0.6 * CALL_TIMEOUT


@dataclass(frozen=True)
class AcceptResult:
    """The outcome of an accept command, and whether the configuration is in force.

    `waiting_for` names the entries that are not known to run the new version yet.
    """

    outcome: Accepted | Superseded | CommandRefused
    in_force: bool
    waiting_for: tuple[str, ...]


class ControlService:
    """Handles requests; only a leader with a valid lease answers, others name it."""

    def __init__(
        self,
        node: Node,
        machine: ControlMachine,
        presence: Presence,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._node = node
        self._machine = machine
        self._presence = presence
        self._clock = clock
        self._counters = counters
        self._leader_since: Milliseconds | None = None
        self._roster_change_open = False
        self._open_proposals: dict[tuple[str, str, str], gevent.Greenlet] = {}

    def register(self, server: MessageServer) -> None:
        """Register the handlers of every message that control serves."""
        server.handle(MemberMessage, member_message_handler(self._node))
        server.handle(EntrySync, self.sync_entry)
        server.handle(ClaimKey, self.claim)
        server.handle(SettleKey, self.settle)

    def sync_entry(self, sync: EntrySync) -> Any:
        """Return the accepted state to an entry, as a linearizable read."""
        if not self._node.can_serve_reads():
            return self._not_leading()
        self._presence.record(sync)
        self._update_roster(sync)
        state = self._machine.state
        known = 0 if sync.evacuations_version is UNSET else sync.evacuations_version
        evacuations = state.evacuations if state.evacuations.version > known else UNSET
        if sync.version == state.version:
            return SyncReply(state.version, state.revision, None, None, evacuations)
        roster = tuple(state.roster.values())
        document = None if sync.revision == state.revision else state.document
        return SyncReply(state.version, state.revision, document, roster, evacuations)

    def claim(self, command: ClaimKey) -> Any:
        """Claim an idempotency key through the replicated log."""
        outcome = self._await_outcome(
            ("claim", command.key, command.attempt),
            ClaimKey(
                command.key, command.digest, command.attempt, command.entry, self._clock.wall()
            ),
        )
        self._counters.add("claims", outcome=type(outcome).__name__)
        return outcome

    def settle(self, command: SettleKey) -> Any:
        """Record how an attempt ended, through the replicated log."""
        outcome = self._await_outcome(
            ("settle" if command.ran else "release", command.key, command.attempt),
            SettleKey(
                command.key, command.attempt, command.ran, command.answer, self._clock.wall()
            ),
        )
        return outcome if isinstance(outcome, NotLeading | Failure | CommandPending) else Done()

    def accept(
        self, command_id: str, operator: str, base_revision: int, document: Any
    ) -> AcceptResult:
        """Accept a configuration and wait until it is in force, for `IN_FORCE_TIMEOUT` at most.

        Raises `InvalidSettings` for an invalid document, `NotLeader` and `OutcomeUnknown`.
        """
        configuration_from_document(document, "configuration")
        command = AcceptConfiguration(
            command_id, operator, base_revision, document, self._clock.wall()
        )
        outcome = self._node.propose(encode_command(command))
        self._counters.add("commands", outcome=type(outcome).__name__)
        if not isinstance(outcome, Accepted):
            return AcceptResult(outcome, False, ())
        log.info("accepted revision {} from operator {}", outcome.revision, operator)
        in_force, waiting_for = self._await_in_force(outcome.version)
        return AcceptResult(outcome, in_force, waiting_for)

    def admit_member(self, identity: str, endpoint: str) -> None:
        """Add a new instance as a learner; it becomes a voter once it has caught up."""

        def change(members: Members) -> Members:
            if identity in members.all_members:
                raise MembershipRefused(f"{identity} is already a member")
            return Members(members.voters, {**members.learners, identity: endpoint})

        self._node.change_members(change)

    def remove_member(self, identity: str) -> None:
        """Remove a voter or learner from the cluster."""

        def change(members: Members) -> Members:
            if identity not in members.all_members:
                raise MembershipRefused(f"{identity} is not a member")
            return Members(_without(members.voters, identity), _without(members.learners, identity))

        self._node.change_members(change)

    def run_housekeeping(self) -> None:
        """Promote learners and remove long-silent entries while leading; runs until killed."""
        while True:
            gevent.sleep(HOUSEKEEPING_PERIOD / SECOND)
            if not self._node.is_formed or not self._node.can_serve_reads():
                self._leader_since = None
                self._presence.clear()
                continue
            if self._leader_since is None:
                self._leader_since = self._clock.now()
            self._promote_learners()
            self._remove_silent_entries()

    def _await_outcome(self, identity: tuple[str, str, str], command: Any) -> Any:
        """Return the outcome of a command, or `CommandPending` while it takes long.

        The entry then knows that this leader is alive and asks again. A command that is sent again
        meanwhile waits for the one in the log instead of being added once more.
        """
        proposal = self._open_proposals.get(identity)
        if proposal is None:
            proposal = self._open_proposals[identity] = gevent.spawn(
                self._propose_for_entry, command
            )
            proposal.rawlink(lambda _: self._open_proposals.pop(identity, None))
        until = self._clock.now() + PENDING_REPLY_TIME
        while not proposal.ready():
            proposal.join(timeout=(until - self._clock.now()) / SECOND)
            if self._clock.now() < until:
                continue
            if not self._node.has_lease():
                return self._not_leading()
            self._counters.add("control_refusals", reason="pending")
            return CommandPending()
        return proposal.get()

    def _propose_for_entry(self, command: Any) -> Any:
        try:
            return self._node.propose(encode_command(command))
        except (NotLeader, NotFormed):
            return self._not_leading()
        except OutcomeUnknown as error:
            return Failure("outcome_unknown", str(error))

    def _not_leading(self) -> NotLeading:
        self._counters.add("control_refusals", reason="not_leading")
        return NotLeading(self._node.leader_endpoint)

    def _update_roster(self, sync: EntrySync) -> None:
        known = self._machine.state.roster.get(sync.entry.name)
        if sync.state == "left":
            self._presence.forget(sync.entry.name)
            if known is not None:
                self._change_roster(RemoveEntry(sync.entry.name, self._clock.wall()))
        elif known != sync.entry and sync.state != "leaving":
            self._change_roster(AdmitEntry(sync.entry, self._clock.wall()))

    def _change_roster(self, command: AdmitEntry | RemoveEntry) -> None:
        """Add or remove one entry, once a majority of the roster runs the current version.

        This way the majorities of any two rosters that entries hold at the same time overlap.
        """
        state = self._machine.state
        if self._roster_change_open or not self._presence.has_majority(state.version, state.roster):
            self._counters.add("control_refusals", reason="roster_change_open")
            return
        self._roster_change_open = True
        gevent.spawn(self._propose_roster_change, command)

    def _propose_roster_change(self, command: AdmitEntry | RemoveEntry) -> None:
        try:
            self._node.propose(encode_command(command))
        except FulmarholdError as error:
            log.warning("roster change failed: {}", error)
        finally:
            self._roster_change_open = False

    def _await_in_force(self, version: int) -> tuple[bool, tuple[str, ...]]:
        """Wait until no entry can serve by an older version, for `IN_FORCE_TIMEOUT` at most."""
        until = self._clock.now() + IN_FORCE_TIMEOUT
        enforcement = Enforcement(version, self._presence)
        while self._clock.now() < until:
            if enforcement.is_complete(self._machine.state.roster, self._clock.now()):
                return True, enforcement.behind(self._machine.state.roster)
            gevent.sleep(IN_FORCE_CHECK_PERIOD / SECOND)
        return False, enforcement.behind(self._machine.state.roster)

    def _promote_learners(self) -> None:
        core = self._node.core
        for identity, endpoint in core.members.learners.items():
            if core.match_index(identity) < core.commit_index:
                continue
            try:
                self._node.change_members(partial(_promote, identity, endpoint))
                log.info("promoted learner {} to voter", identity)
            except FulmarholdError as error:
                log.info("could not promote learner {} yet: {}", identity, error)
            return

    def _remove_silent_entries(self) -> None:
        now = self._clock.now()
        if self._leader_since is None or now < self._leader_since + ENTRY_REMOVAL_TIMEOUT:
            return
        moment = now - ENTRY_REMOVAL_TIMEOUT
        for name in self._presence.silent_since(moment, self._machine.state.roster)[:1]:
            log.info("removing entry {} from the roster after long silence", name)
            self._change_roster(RemoveEntry(name, self._clock.wall()))


def _promote(identity: str, endpoint: str, members: Members) -> Members:
    voters = {**members.voters, identity: endpoint}
    return Members(voters, _without(members.learners, identity))


def _without(mapping: dict[str, str], key: str) -> dict[str, str]:
    return {name: value for name, value in mapping.items() if name != key}
