"""Runs one member: drives the core, syncs its writes, sends its messages, applies its entries.

Writes and snapshots run in threads beside the member's loop, so a slow or full disk stops neither
its heartbeats nor what it learns from the leader. A member that can't store stays up: it does not
lead or vote, acknowledges only what it has stored, and repeats the write until there is room.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any, Protocol

import gevent
from gevent.event import AsyncResult, Event
from gevent.pool import Group
from gevent.queue import Empty, Queue

from fulmarhold.clock import SECOND
from fulmarhold.consensus.core import HEARTBEAT_PERIOD, NotLeader, RaftCore
from fulmarhold.consensus.memory import MemoryLog, pack_members
from fulmarhold.consensus.messages import (
    KIND_COMMAND,
    KIND_MEMBERS,
    LogEntry,
    MemberMessage,
    Members,
    PeerMessage,
    Snapshot,
    VoteReply,
    VoteRequest,
    protocol_violation,
)
from fulmarhold.consensus.output import HardState, Output
from fulmarhold.consensus.pending import Outbox, PendingWrites
from fulmarhold.consensus.storage import EMPTY_SNAPSHOT, Storage, StorageFailed
from fulmarhold.errors import FulmarholdError
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.messages import from_values

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.consensus.founding import FoundingVote
    from fulmarhold.consensus.transport import Transport

log = get_logger("consensus")

TICK_PERIOD: Milliseconds = 40.0
FIRST_TERM = 1
TRANSFER_WAIT: Milliseconds = 2_000.0
# How long a stopping member waits for a write in progress.
STOP_TIMEOUT: Milliseconds = 500.0
# A leader whose sync takes longer than this steps down, so that another member is elected. Several
# times the slowest sync on a disk shared with other load (0.8 s).
MAX_SYNC_DURATION: Milliseconds = 2_500.0
# After this time, a member acknowledges heartbeats before its sync has ended.
SLOW_SYNC: Milliseconds = HEARTBEAT_PERIOD
WRITE_RETRY_PERIOD: Milliseconds = 200.0
# Each attempt encodes the whole state and holds back the writes of the log for a moment.
SNAPSHOT_RETRY_PERIOD: Milliseconds = 1_000.0
# Writes that take longer are logged; acknowledgements wait for them.
LOGGED_WRITE_TIME: Milliseconds = 500.0


class StateMachine(Protocol):
    """The state machine that the log replicates."""

    def apply(self, data: bytes) -> Any:
        """Apply a committed command and return its result."""

    def save(self) -> bytes:
        """Return the complete state, encoded for a snapshot."""

    def restore(self, state: bytes) -> None:
        """Replace the complete state by that of a snapshot."""


class OutcomeUnknown(FulmarholdError):
    """Leadership was lost before the entry was committed; it may still be committed."""


class NotFormed(FulmarholdError):
    """This instance does not belong to a cluster yet."""


def member_message_handler(node: Node) -> Callable[[MemberMessage], None]:
    """Return a handler that passes received messages of members to `node`."""
    return lambda envelope: node.receive(envelope.endpoint, from_values(envelope.content))


@dataclass(frozen=True)
class _Proposal:
    term: int
    result: AsyncResult


class Node:
    """One member with its storage, transport and state machine."""

    def __init__(
        self, storage: Storage, transport: Transport, machine: StateMachine, clock: Clock
    ) -> None:
        self._storage = storage
        self._transport = transport
        self._machine = machine
        self._clock = clock
        self._random = Random()
        self._events: Queue[Callable[[RaftCore], None]] = Queue()
        self._proposals: dict[int, _Proposal] = {}
        # The results that callers wait for, of proposals in the log and of those still queued.
        self._open_results: set[AsyncResult] = set()
        self._has_stopped = False
        # A member that has just joined replies to these endpoints: its log does not list the other
        # members yet.
        self._sender_endpoints: dict[str, str] = {}
        self._applied_index = 0
        self._step_done = Event()
        self._writes = PendingWrites()
        self._outbox = Outbox()
        self._write_started_at: Milliseconds | None = None
        self._failed_since: Milliseconds | None = None
        self._retry_write_at: Milliseconds = float("-inf")
        self._is_saving_snapshot = False
        self._retry_snapshot_at: Milliseconds = float("-inf")
        self._core: RaftCore | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._disk_greenlets = Group()
        self.failure: AsyncResult = AsyncResult()
        self.on_applied: Callable[[], None] = lambda: None

    @property
    def identity(self) -> str:
        return self._storage.identity.member

    @property
    def cluster(self) -> str:
        return self._storage.identity.cluster

    @property
    def founding_vote(self) -> FoundingVote | None:
        """The stored vote of this member in the founding of its cluster, if it takes part."""
        return self._storage.founding_vote

    def store_founding_vote(self, vote: FoundingVote) -> None:
        """Store a vote in the founding; raises `StorageFailed`."""
        self._storage.store_founding_vote(vote)

    @property
    def core(self) -> RaftCore:
        """The Raft core; raises `NotFormed` before this instance forms or joins a cluster."""
        if self._core is None:
            raise NotFormed("this instance does not belong to a cluster yet", step="reading")
        return self._core

    @property
    def is_formed(self) -> bool:
        return self._core is not None

    @property
    def applied_index(self) -> int:
        return self._applied_index

    @property
    def can_store(self) -> bool:
        """Whether the last write succeeded; false while the disk is full or fails."""
        return self._failed_since is None

    @property
    def leader_endpoint(self) -> str | None:
        """The endpoint of the known leader, if any."""
        if self._core is None or self._core.leader is None:
            return None
        return self._core.members.all_members.get(self._core.leader)

    def start(self) -> None:
        """Load the synced state and start to take part in the cluster."""
        hard_state, memory = self._storage.load()
        if hard_state != HardState() or memory.last_index > 0:
            # A process that was killed may have written without a sync what is loaded here. Storing
            # the term again syncs it all; no message is sent before that.
            self._writes.add(Output(hard_state=hard_state))
        if self.cluster:
            self._start_core(hard_state, memory)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop taking part in the cluster; open proposals end with `OutcomeUnknown`.

        Calling `transfer_leadership` first saves the other members an election timeout.
        """
        self._has_stopped = True
        if self._greenlet is not None:
            self._greenlet.kill()
        for result in self._open_results:
            if not result.ready():
                result.set_exception(OutcomeUnknown("this member has stopped", step="proposing"))
        self._disk_greenlets.join(timeout=STOP_TIMEOUT / SECOND)
        self._transport.close()
        self._storage.close()

    def form(self, cluster: str, voters: dict[str, str]) -> None:
        """Form a new cluster of the given voters, starting with this instance's log.

        Raises `FulmarholdError` when this instance already belongs to a cluster.
        """
        if self.cluster:
            raise FulmarholdError("this instance already belongs to a cluster", step="forming")
        if self.identity not in voters:
            raise FulmarholdError("the voters do not include this instance", step="forming")
        first = LogEntry(1, FIRST_TERM, KIND_MEMBERS, pack_members(Members(voters, {})))
        self._storage.write(
            Output(hard_state=HardState(FIRST_TERM), truncate_from=1, entries=[first])
        )
        self._storage.join_cluster(cluster)
        self._start_core(HardState(FIRST_TERM), MemoryLog(EMPTY_SNAPSHOT, [first]))
        log.info("formed cluster {} with {} voters", cluster, len(voters))

    def receive(self, endpoint: str, message: PeerMessage) -> None:
        """Handle a message from the member that listens at `endpoint`."""
        if message.recipient != self.identity:
            self._grant_for_lost_identity(endpoint, message)
            return
        if problem := protocol_violation(message):
            log.warning("ignored an invalid message from {}: {}", endpoint, problem)
            return
        self._sender_endpoints[message.sender] = endpoint
        if not self.cluster:
            # The identity is new and random, so the sender can know it only from the members of
            # the cluster that has admitted this instance.
            try:
                self._join(message.cluster)
            except StorageFailed as error:
                log.error("can't join cluster {} yet: {}", message.cluster, error)
                return
        self._events.put(lambda core: core.receive(message, self._clock.now()))

    def _join(self, cluster: str) -> None:
        """Join a running cluster, with its first entry if this member has accepted it.

        The member that founded it may have been the only other one to hold the entry.
        """
        vote = self.founding_vote
        accepted = vote.accepted if vote else None
        is_founder = accepted is not None and self.identity in accepted.voters
        if accepted is not None and is_founder and accepted.cluster == cluster:
            self.form(cluster, accepted.voters)
            return
        self._storage.join_cluster(cluster)
        self._start_core(HardState(), MemoryLog(EMPTY_SNAPSHOT))
        log.info("joined cluster {}", cluster)

    def _grant_for_lost_identity(self, endpoint: str, message: PeerMessage) -> None:
        """Grant a restart vote for the identity that this endpoint had before it lost its disk.

        The lost member neither leads nor has acknowledged a leader whose lease may still run, so
        the restarted voter need not wait for it.
        """
        if isinstance(message, VoteRequest) and message.restarted:
            reply = VoteReply(
                message.cluster,
                message.recipient,
                message.sender,
                message.term,
                trial=True,
                granted=True,
                restarted=True,
            )
            self._transport.send(endpoint, reply)

    def propose(self, data: bytes) -> Any:
        """Replicate a command, wait until it is applied, and return its result.

        Raises `NotLeader`, or `OutcomeUnknown` if leadership is lost in the meantime.
        """
        return self._submit(lambda core: core.propose(KIND_COMMAND, data, self._clock.now()))

    def change_members(self, change: Callable[[Members], Members]) -> None:
        """Replicate a membership change; raises `MembershipRefused` or `NotLeader`."""
        self._submit(lambda core: core.propose_members(change(core.members), self._clock.now()))

    def can_serve_reads(self) -> bool:
        """Whether the applied state is current: the lease is valid and all commits are applied."""
        return (
            self._core is not None
            and self._core.can_serve_reads(self._clock.now())
            and self._applied_index >= self._core.commit_index
        )

    def has_lease(self) -> bool:
        """Whether this member leads and no other can have been elected since."""
        now = self._clock.now()
        return self._core is not None and now < self._core.lease_expires_at(now)

    def confirmed_age(self) -> Milliseconds:
        """Return the time since the applied state was last known to be current."""
        if self._core is None or self._applied_index < self._core.commit_index:
            return float("inf")
        now = self._clock.now()
        return now - self._core.confirmed_at(now)

    def confirm_leadership(self, timeout: Milliseconds) -> None:
        """Wait until a quorum has confirmed this leader and all committed entries are applied.

        Only acknowledgements of requests sent after the call count. Raises `NotLeader` when this
        member does not lead, or when no quorum answers within `timeout`.
        """
        core = self.core
        asked_at = self._clock.now()
        self._events.put(lambda core: core.broadcast_append(self._clock.now()))
        while core.is_leader and self._clock.now() < asked_at + timeout:
            is_confirmed = (
                core.has_committed_in_term
                and core.quorum_acknowledged_at(self._clock.now()) >= asked_at
            )
            if is_confirmed and self._applied_index >= core.commit_index:
                return
            self._step_done.clear()
            self._step_done.wait(TICK_PERIOD / SECOND)
        raise NotLeader(core.leader if not core.is_leader else None)

    def transfer_leadership(self, timeout: Milliseconds = TRANSFER_WAIT) -> None:
        """Transfer leadership to another voter, if one catches up within `timeout`."""
        until = self._clock.now() + timeout
        while self._core is not None and self._core.is_leader and self._clock.now() < until:
            if len(self._core.members.voters) == 1:
                return
            self._events.put(lambda core: core.transfer_leadership(self._clock.now()) and None)
            gevent.sleep(TICK_PERIOD / SECOND)

    def _submit(self, action: Callable[[RaftCore], int]) -> Any:
        result: AsyncResult = AsyncResult()

        def run(core: RaftCore) -> None:
            try:
                index = action(core)
            except FulmarholdError as error:
                result.set_exception(error)
            else:
                self._proposals[index] = _Proposal(core.term, result)

        if self._core is None:
            raise NotFormed("this instance does not belong to a cluster yet", step="proposing")
        if self._has_stopped or not self._core.is_leader:
            raise NotLeader(self._core.leader)
        self._open_results.add(result)
        self._events.put(run)
        try:
            return result.get()
        finally:
            self._open_results.discard(result)

    def _start_core(self, hard_state: HardState, memory: MemoryLog) -> None:
        if memory.snapshot.state:
            self._machine.restore(memory.snapshot.state)
        self._applied_index = memory.snapshot.index
        self._core = RaftCore(
            self.identity, self.cluster, memory, hard_state, self._random, self._clock.now()
        )

    def _run(self) -> None:
        try:
            while True:
                events = self._next_events()
                if self._core is not None:
                    self._step(self._core, events)
        except Exception as error:
            self.failure.set_exception(error)
            log.exception("stopped because of an error: {}", error)

    def _next_events(self) -> list[Callable[[RaftCore], None]]:
        events = []
        try:
            events.append(self._events.get(timeout=TICK_PERIOD / SECOND))
            while True:
                events.append(self._events.get_nowait())
        except Empty:
            return events

    def _step(self, core: RaftCore, events: list[Callable[[RaftCore], None]]) -> None:
        term, was_leader = core.term, core.is_leader
        outputs = []
        for event in events:
            event(core)
            outputs.append(self._collect_output(core))
        now = self._clock.now()
        core.tick(now)
        self._give_up_hung_write(core, now)
        outputs.append(self._collect_output(core))
        self._start_write(now)
        self._send(core, self._releasable_messages(core, now))
        for output in outputs:
            self._apply_output(output)
        if was_leader and (not core.is_leader or core.term != term):
            log.info("no longer leads in term {}; follows {}", term, core.leader or "nobody")
            self._fail_proposals()
        if core.is_leader and not was_leader:
            log.info("became leader of term {}", core.term)
        self._compact_if_due(core)
        self._step_done.set()

    def _collect_output(self, core: RaftCore) -> Output:
        """Take the core's output and note its writes and messages.

        Called after each event: if the next one ends a write, it must know what is not written yet.
        """
        output = core.take_output()
        self._writes.add(output)
        self._outbox.add(output.messages)
        return output

    def _apply_output(self, output: Output) -> None:
        if output.installed_snapshot is not None:
            self._machine.restore(output.installed_snapshot.state)
            self._applied_index = output.installed_snapshot.index
        for entry in output.committed:
            self._apply(entry)
        if output.committed or output.installed_snapshot is not None:
            self.on_applied()

    def _releasable_messages(self, core: RaftCore, now: Milliseconds) -> list[PeerMessage]:
        started_at = self._write_started_at
        is_slow = not self.can_store or (started_at is not None and now > started_at + SLOW_SYNC)
        return self._outbox.release(self._writes, core.stored_index, core.term, is_slow=is_slow)

    def _send(self, core: RaftCore, messages: Iterable[PeerMessage]) -> None:
        for message in messages:
            endpoint = core.members.all_members.get(
                message.recipient, self._sender_endpoints.get(message.recipient)
            )
            if endpoint is not None:
                self._transport.send(endpoint, message)

    def _start_write(self, now: Milliseconds) -> None:
        """Sync the waiting writes in a thread, unless a write is in progress or just failed."""
        if now < self._retry_write_at:
            return
        output = self._writes.start()
        if output is not None:
            self._write_started_at = now
            self._disk_greenlets.spawn(self._write, output)

    def _write(self, output: Output) -> None:
        failure = _run_in_thread(self._storage.write, output)
        self._events.put(lambda core: self._finish_write(core, failure))

    def _finish_write(self, core: RaftCore, failure: Exception | None) -> None:
        _raise_unexpected(failure)
        now = self._clock.now()
        took = now - (self._write_started_at or now)
        if took > LOGGED_WRITE_TIME:
            log.warning("storing took {:.0f} ms", took)
        if failure is not None:
            self._write_started_at = None
            self._writes.fail()
            self._retry_write_at = now + WRITE_RETRY_PERIOD
            if self._failed_since is None:
                self._failed_since = now
                log.error("{}; neither leading nor voting until it succeeds", failure)
            core.set_can_store(False, now)
            return
        self._end_write()
        if self._failed_since is not None:
            log.info("storing again after {:.0f} ms without", now - self._failed_since)
            self._failed_since = None
        core.set_can_store(True, now)
        first_unstored = self._writes.first_unstored
        stored = core.log.last_index if first_unstored is None else first_unstored - 1
        core.note_stored(stored, now)

    def _end_write(self) -> None:
        self._write_started_at = None
        self._writes.complete()

    def _give_up_hung_write(self, core: RaftCore, now: Milliseconds) -> None:
        started_at = self._write_started_at
        if started_at is not None and now > started_at + MAX_SYNC_DURATION:
            core.set_can_store(False, now)

    def _apply(self, entry: LogEntry) -> None:
        result = None
        if entry.kind == KIND_COMMAND:
            result = self._machine.apply(entry.data)
        self._applied_index = entry.index
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.result.set(result)
        else:
            proposal.result.set_exception(OutcomeUnknown("leadership was lost", step="proposing"))

    def _fail_proposals(self) -> None:
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            proposal.result.set_exception(OutcomeUnknown("leadership was lost", step="proposing"))

    def _compact_if_due(self, core: RaftCore) -> None:
        is_due = self._storage.is_compaction_due and self._applied_index > core.log.snapshot.index
        may_save = self._writes.is_idle and self.can_store and not self._is_saving_snapshot
        if not is_due or not may_save or self._clock.now() < self._retry_snapshot_at:
            return
        term = core.log.term_at(self._applied_index)
        if term is None:
            raise StorageFailed(f"entry {self._applied_index} is not held", step="compacting")
        members = core.log.members_at(self._applied_index)
        snapshot = Snapshot(self._applied_index, term, members, self._machine.save())
        self._is_saving_snapshot = True
        self._writes.block()
        self._write_started_at = self._clock.now()
        entries = core.log.slice(snapshot.index + 1, core.log.last_index)
        self._disk_greenlets.spawn(self._save_snapshot, snapshot, entries)

    def _save_snapshot(self, snapshot: Snapshot, entries: tuple[LogEntry, ...]) -> None:
        """Start a log segment, save the snapshot beside the following writes, and drop the rest."""
        failure = _run_in_thread(self._storage.start_segment, snapshot.index, entries)
        self._events.put(self._finish_segment)
        failure = failure or _run_in_thread(self._storage.save_snapshot, snapshot)
        failure = failure or _run_in_thread(self._storage.drop_covered)
        self._events.put(lambda core: self._finish_snapshot(core, snapshot, failure))

    def _finish_segment(self, core: RaftCore) -> None:
        self._end_write()
        # It may have taken so long that it counted as hung.
        core.set_can_store(True, self._clock.now())

    def _finish_snapshot(
        self, core: RaftCore, snapshot: Snapshot, failure: Exception | None
    ) -> None:
        _raise_unexpected(failure)
        self._is_saving_snapshot = False
        if failure is not None:
            self._retry_snapshot_at = self._clock.now() + SNAPSHOT_RETRY_PERIOD
            log.warning("no snapshot up to entry {}: {}", snapshot.index, failure)
        elif snapshot.index > core.log.snapshot.index:
            core.compact(snapshot, max(core.log.first_index - 1, self._storage.covered_index))
            log.info("saved a snapshot up to entry {}", snapshot.index)


def _run_in_thread(write: Callable[..., None], *arguments: Any) -> Exception | None:
    """Run a write in a thread of the pool; returns its error, if any."""
    failure: Exception | None = gevent.get_hub().threadpool.apply(
        _capture_failure, (write, *arguments)
    )
    return failure


def _capture_failure(write: Callable[..., None], *arguments: Any) -> Exception | None:
    """Run a write and return its error, if any.

    The thread pool prints an uncaught exception to standard error before it wakes the waiting
    greenlet. If standard error is on the same full disk, that print fails and the greenlet would
    wait forever.
    """
    try:
        write(*arguments)
    except Exception as error:
        return error
    return None


def _raise_unexpected(failure: Exception | None) -> None:
    """Raise an error that repeating the write does not mend, to end the member and its process."""
    if failure is not None and not isinstance(failure, StorageFailed):
        raise failure
