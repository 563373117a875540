"""The Raft protocol of one member, without I/O.

The core does no I/O and reads no clock. Callers pass in messages and the current time, and fetch
the resulting writes, messages and committed entries with `take_output`. What a message promises
must be synced before the message is sent. The caller tells with `note_stored` which entries are
synced: until then, they do not count for this member's part in a quorum.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from fulmarhold.consensus.confirmation import Confirmation
from fulmarhold.consensus.followers import Followers
from fulmarhold.consensus.memory import MemoryLog, pack_members
from fulmarhold.consensus.messages import (
    KIND_MEMBERS,
    KIND_NOOP,
    AppendReply,
    AppendRequest,
    LogEntry,
    Members,
    PeerMessage,
    Snapshot,
    SnapshotRequest,
    TakeOver,
    VoteReply,
    VoteRequest,
    protocol_violation,
)
from fulmarhold.consensus.output import HardState, Output
from fulmarhold.errors import FulmarholdError

if TYPE_CHECKING:
    from random import Random

    from fulmarhold.clock import Milliseconds
    from fulmarhold.consensus.followers import Follower

# The election timeouts are far above a round trip between data centres (9 ms) and a sync on a slow
# disk (125 ms), but no longer than needed: without a leader, nothing is accepted and newly started
# entries get no configuration to serve.
HEARTBEAT_PERIOD: Milliseconds = 100.0
MIN_ELECTION_TIMEOUT: Milliseconds = 450.0
MAX_ELECTION_TIMEOUT: Milliseconds = 900.0
# Shorter than the minimum election timeout, as a margin for clock drift between members.
LEADER_LEASE: Milliseconds = 360.0
# After a start, a member asks within this period whether all voters have just restarted, and asks
# again after one to two such periods. About ten round trips between data centres, so that two
# members seldom ask at the same time.
RESTART_VOTE_SPREAD: Milliseconds = 100.0
SNAPSHOT_RESEND_PERIOD: Milliseconds = 2_000.0
TRANSFER_TIMEOUT: Milliseconds = 1_000.0
MAX_ENTRIES_PER_REQUEST = 256
MAX_BYTES_PER_REQUEST = 4 * 1024 * 1024


class Role(Enum):
    """The Raft role of a member."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotLeader(FulmarholdError):
    """This member is not the leader; `leader` is the identity of the known leader, if any."""

    def __init__(self, leader: str | None) -> None:
        super().__init__("this instance is not the leader", step="proposing", peer=leader or "")
        self.leader = leader


class MembershipRefused(FulmarholdError):
    """The membership can't be changed now; the message gives the reason."""


class RaftCore:
    """The Raft state machine of one member.

    Implements elections with pre-vote, replication, leader leases and leadership transfer.
    """

    def __init__(
        self,
        identity: str,
        cluster: str,
        log: MemoryLog,
        hard_state: HardState,
        random: Random,
        now: Milliseconds,
    ) -> None:
        self.identity = identity
        self.cluster = cluster
        self.log = log
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.commit_index = log.snapshot.index
        self._hard_state = hard_state
        self._stored_index = log.last_index
        self._can_store = True
        self._random = random
        self._last_delivered_index = log.snapshot.index
        # Before a restart, this member may have acknowledged a leader whose lease still runs, so
        # it counts the restart as contact with that leader and withholds its vote.
        has_history = hard_state.term > 0 or log.last_index > 0
        self._last_leader_contact_at = now if has_history else float("-inf")
        self._election_deadline = now
        self._next_heartbeat_at = now
        self._votes: set[str] = set()
        self._is_pre_vote = False
        self._followers = Followers(identity)
        self._first_index_of_term = 0
        self._transfer_deadline: Milliseconds | None = None
        self._confirmation = Confirmation()
        # If all voters have restarted within this window, no leader and no lease can be left, and
        # they can elect a leader without waiting for an election timeout.
        self._restart_window_end = now + MIN_ELECTION_TIMEOUT if has_history else float("-inf")
        self._next_restart_vote_at = now + random.uniform(0.0, RESTART_VOTE_SPREAD)
        self._restart_votes: set[str] = set()
        self.leader_since: Milliseconds = float("-inf")
        self._output = Output()
        self._reset_election_deadline(now)

    @property
    def term(self) -> int:
        return self._hard_state.term

    @property
    def hard_state(self) -> HardState:
        return self._hard_state

    @property
    def members(self) -> Members:
        return self.log.members

    @property
    def is_leader(self) -> bool:
        return self.role is Role.LEADER

    @property
    def stored_index(self) -> int:
        """The index up to which this member's log is synced."""
        return self._stored_index

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term."""
        return self.is_leader and self.commit_index >= self._first_index_of_term

    def lease_expires_at(self, now: Milliseconds) -> Milliseconds:
        """Return when this leader's lease expires; no other leader is elected before that.

        Negative infinity if this member is not the leader or is transferring leadership.
        """
        if not self.is_leader or self._transfer_deadline is not None:
            return float("-inf")
        return self._followers.acknowledged_by_quorum_at(self.members, now) + LEADER_LEASE

    def can_serve_reads(self, now: Milliseconds) -> bool:
        """Whether this leader can serve linearizable reads from its committed state."""
        return self.has_committed_in_term and now < self.lease_expires_at(now)

    def confirmed_at(self, now: Milliseconds) -> Milliseconds:
        """Return when this member last knew that it had committed all its leader's commits."""
        if self.is_leader:
            return self.quorum_acknowledged_at(now) if self.has_committed_in_term else float("-inf")
        return self._confirmation.confirmed_at

    def quorum_acknowledged_at(self, now: Milliseconds) -> Milliseconds:
        """Return the latest time as of which a quorum has acknowledged this leader."""
        if not self.is_leader:
            return float("-inf")
        return self._followers.acknowledged_by_quorum_at(self.members, now)

    def acknowledged_at(self, identity: str) -> Milliseconds:
        """Return the send time of the newest request that a member has acknowledged."""
        follower = self._followers.find(identity)
        return follower.acknowledged_at if follower else float("-inf")

    def broadcast_append(self, now: Milliseconds) -> None:
        """Send append requests to all members now, to confirm that this member still leads."""
        if self.is_leader:
            self._replicate(now)

    def match_index(self, identity: str) -> int:
        """Return the highest index up to which a member's synced log matches this leader's."""
        return self._followers.match_index(identity)

    def take_output(self) -> Output:
        """Return the output accumulated since the last call, and start a new one."""
        output, self._output = self._output, Output()
        return output

    def note_stored(self, index: int, now: Milliseconds) -> None:
        """Note that the entries up to `index` are synced, and commit them if a quorum has them."""
        self._stored_index = min(index, self.log.last_index)
        committed = self.commit_index
        if self.is_leader:
            self._advance_commit()
        if self.is_leader and self.commit_index > committed:
            self._replicate(now)

    def set_can_store(self, can_store: bool, now: Milliseconds) -> None:
        """Set whether writes succeed: a member that can't store neither leads nor votes."""
        self._can_store = can_store
        if not can_store and self.role is not Role.FOLLOWER:
            self._become_follower(self.term, None)
            self._reset_election_deadline(now)

    def tick(self, now: Milliseconds) -> None:
        """Run the timers: elections, heartbeats, and stepping down after losing the quorum."""
        if self.is_leader:
            self._tick_leader(now)
        elif now >= self._election_deadline:
            self._campaign(now, trial=True, transfer=False)
        elif self._is_in_restart_window(now) and now >= self._next_restart_vote_at:
            self._request_restart_votes(now)

    def propose(self, kind: str, data: bytes, now: Milliseconds) -> int:
        """Append and replicate an entry and return its index; raises `NotLeader`."""
        if not self.is_leader or self._transfer_deadline is not None:
            raise NotLeader(self.leader)
        entry = LogEntry(self.log.last_index + 1, self.term, kind, data)
        self._append(entry)
        self._replicate(now)
        self._advance_commit()
        return entry.index

    def propose_members(self, members: Members, now: Milliseconds) -> int:
        """Propose a membership change that adds or removes at most one voter.

        Raises `NotLeader`, or `MembershipRefused` while another change is uncommitted, when a new
        voter has not caught up, or when the change covers more than one voter.
        """
        if not self.is_leader:
            raise NotLeader(self.leader)
        if not self.has_committed_in_term or self.log.members_index > self.commit_index:
            raise MembershipRefused("another membership change is not committed yet")
        changed = set(members.voters) ^ set(self.members.voters)
        if len(changed) > 1:
            raise MembershipRefused("only one voter may be added or removed at a time")
        if not members.voters:
            raise MembershipRefused("the last voter can't be removed")
        for identity in changed & set(members.voters):
            if self.match_index(identity) < self.commit_index:
                raise MembershipRefused(f"{identity} has not caught up yet")
        return self.propose(KIND_MEMBERS, pack_members(members), now)

    def transfer_leadership(self, now: Milliseconds) -> bool:
        """Ask the voter with the most complete log to take over.

        Returns false, without asking, if there is no other voter or none has caught up.
        """
        others = [voter for voter in self.members.voters if voter != self.identity]
        if not self.is_leader or not others:
            return False
        successor = max(others, key=self.match_index)
        if self.match_index(successor) < self.log.last_index:
            self._replicate(now)
            return False
        self._transfer_deadline = now + TRANSFER_TIMEOUT
        self._send(TakeOver(self.cluster, self.identity, successor, self.term))
        return True

    def receive(self, message: PeerMessage, now: Milliseconds) -> None:
        """Handle a message; ignores misaddressed messages and protocol violations."""
        is_own = message.cluster == self.cluster and message.recipient == self.identity
        if not is_own or protocol_violation(message):
            return
        match message:
            case VoteRequest():
                self._on_vote_request(message, now)
            case VoteReply():
                self._on_vote_reply(message, now)
            case AppendRequest():
                self._on_append(message, now)
            case AppendReply():
                self._on_append_reply(message, now)
            case SnapshotRequest():
                self._on_snapshot(message, now)
            case TakeOver():
                self._on_take_over(message, now)

    def compact(self, snapshot: Snapshot, start: int) -> None:
        """Drop log entries up to `start`, which a synced snapshot must cover."""
        self.log.compact(snapshot, start)

    # Elections

    def _campaign(self, now: Milliseconds, *, trial: bool, transfer: bool) -> None:
        self._reset_election_deadline(now)
        if self.identity not in self.members.voters or not self._can_store:
            return
        self.role = Role.CANDIDATE
        self.leader = None
        self._is_pre_vote = trial
        self._votes = {self.identity}
        term = self.term + 1
        if not trial:
            self._set_hard_state(HardState(term, self.identity))
        self._request_votes(term, trial=trial, transfer=transfer, restarted=False)
        self._count_votes(now)

    def _request_votes(self, term: int, *, trial: bool, transfer: bool, restarted: bool) -> None:
        for voter in self.members.voters:
            if voter != self.identity:
                self._send(
                    VoteRequest(
                        self.cluster,
                        self.identity,
                        voter,
                        term,
                        self.log.last_index,
                        self.log.last_term,
                        trial,
                        transfer,
                        restarted,
                    )
                )

    def _is_in_restart_window(self, now: Milliseconds) -> bool:
        return now < self._restart_window_end and self.leader is None

    def _request_restart_votes(self, now: Milliseconds) -> None:
        """Ask the voters whether all of them have just restarted, without becoming a candidate."""
        self._next_restart_vote_at = now + self._random.uniform(1.0, 2.0) * RESTART_VOTE_SPREAD
        self._restart_votes = {self.identity}
        if self.identity in self.members.voters:
            self._request_votes(self.term + 1, trial=True, transfer=False, restarted=True)

    def _on_restart_vote_request(self, message: VoteRequest, now: Milliseconds) -> None:
        up_to_date = self._is_up_to_date(message)
        granted = self._is_in_restart_window(now) and up_to_date and message.term > self.term
        if granted:
            self._next_restart_vote_at = now + self._random.uniform(2.0, 4.0) * RESTART_VOTE_SPREAD
            if message.sender < self.identity:
                # Of several members that ask at once, only the one with the lowest identity may
                # continue; otherwise they would split the vote.
                self._restart_votes.clear()
        self._send(
            VoteReply(
                self.cluster,
                self.identity,
                message.sender,
                message.term,
                trial=True,
                granted=granted,
                restarted=True,
            )
        )

    def _on_restart_vote_reply(self, message: VoteReply, now: Milliseconds) -> None:
        is_current = message.granted and message.term == self.term + 1
        has_withdrawn = self.identity not in self._restart_votes
        if not is_current or has_withdrawn or not self._is_in_restart_window(now):
            return
        self._restart_votes.add(message.sender)
        if self._restart_votes >= set(self.members.voters):
            self._campaign(now, trial=False, transfer=True)

    def _on_vote_request(self, message: VoteRequest, now: Milliseconds) -> None:
        if message.restarted:
            self._on_restart_vote_request(message, now)
            return
        if not self._can_store:
            return
        if not message.transfer and self._has_live_leader(now):
            self._reply_vote(message, granted=False)
            return
        if not message.trial and message.term > self.term:
            self._become_follower(message.term, None)
        up_to_date = self._is_up_to_date(message)
        if message.trial:
            granted = up_to_date and message.term > self.term
            asks_too = self.role is Role.CANDIDATE and self._is_pre_vote
            if granted and asks_too and message.sender < self.identity:
                # Of several members that ask at once, only the one with the lowest identity may
                # continue; otherwise they would split the vote.
                self._become_follower(self.term, None)
            self._reply_vote(message, granted=granted)
            return
        free = self._hard_state.voted_for in (None, message.sender)
        granted = message.term == self.term and free and up_to_date
        if granted:
            self._set_hard_state(HardState(self.term, message.sender))
            self._reset_election_deadline(now)
        self._reply_vote(message, granted=granted)

    def _is_up_to_date(self, message: VoteRequest) -> bool:
        own = (self.log.last_term, self.log.last_index)
        return (message.last_term, message.last_index) >= own

    def _has_live_leader(self, now: Milliseconds) -> bool:
        if self.is_leader:
            return now < self.lease_expires_at(now)
        return now < self._last_leader_contact_at + MIN_ELECTION_TIMEOUT

    def _reply_vote(self, message: VoteRequest, *, granted: bool) -> None:
        term = message.term if granted else self.term
        self._send(
            VoteReply(self.cluster, self.identity, message.sender, term, message.trial, granted)
        )

    def _on_vote_reply(self, message: VoteReply, now: Milliseconds) -> None:
        if message.restarted:
            self._on_restart_vote_reply(message, now)
            return
        if not message.granted:
            if message.term > self.term:
                self._become_follower(message.term, None)
            return
        expected = self.term + 1 if message.trial else self.term
        if (
            self.role is Role.CANDIDATE
            and message.trial == self._is_pre_vote
            and message.term == expected
            and message.sender in self.members.voters
        ):
            self._votes.add(message.sender)
            self._count_votes(now)

    def _count_votes(self, now: Milliseconds) -> None:
        if len(self._votes) < self.members.quorum:
            return
        if self._is_pre_vote:
            self._campaign(now, trial=False, transfer=False)
        else:
            self._become_leader(now)

    def _on_take_over(self, message: TakeOver, now: Milliseconds) -> None:
        if message.term == self.term and self.identity in self.members.voters:
            self._campaign(now, trial=False, transfer=True)

    def _become_leader(self, now: Milliseconds) -> None:
        self.role = Role.LEADER
        self.leader_since = now
        self.leader = self.identity
        self._transfer_deadline = None
        self._followers.reset(self.members.all_members, self.log.last_index + 1)
        self._first_index_of_term = self.log.last_index + 1
        self._append(LogEntry(self._first_index_of_term, self.term, KIND_NOOP, b""))
        self._last_leader_contact_at = now
        self._replicate(now)
        self._advance_commit()

    def _become_follower(self, term: int, leader: str | None) -> None:
        if term > self.term:
            self._set_hard_state(HardState(term, None))
        self.role = Role.FOLLOWER
        self.leader = leader
        self._transfer_deadline = None
        self._followers.clear()

    def _reset_election_deadline(self, now: Milliseconds) -> None:
        self._election_deadline = now + self._random.uniform(
            MIN_ELECTION_TIMEOUT, MAX_ELECTION_TIMEOUT
        )

    # Replication on the leader

    def _tick_leader(self, now: Milliseconds) -> None:
        if self._transfer_deadline is not None:
            if now >= self._transfer_deadline:
                self._become_follower(self.term, None)
                self._reset_election_deadline(now)
            return
        quorum_acknowledged_at = self.lease_expires_at(now) - LEADER_LEASE
        if now - max(quorum_acknowledged_at, self._last_leader_contact_at) > MIN_ELECTION_TIMEOUT:
            self._become_follower(self.term, None)
            self._reset_election_deadline(now)
        elif now >= self._next_heartbeat_at:
            self._replicate(now)

    def _append(self, entry: LogEntry) -> None:
        self.log.append(entry)
        self._output.entries.append(entry)
        if entry.kind == KIND_MEMBERS and self.is_leader:
            self._followers.admit(self.members.all_members, self.log.first_index)

    def _replicate(self, now: Milliseconds) -> None:
        self._next_heartbeat_at = now + HEARTBEAT_PERIOD
        for identity in self.members.all_members:
            if identity != self.identity:
                self._replicate_to(identity, now)

    def _replicate_to(self, identity: str, now: Milliseconds) -> None:
        follower = self._followers.follower(identity)
        if follower.next_index < self.log.first_index:
            self._send_snapshot(identity, follower, now)
            return
        previous = follower.next_index - 1
        entries = self.log.batch(
            follower.next_index, MAX_ENTRIES_PER_REQUEST, MAX_BYTES_PER_REQUEST
        )
        follower.next_index += len(entries)
        term = self.log.term_at(previous) or 0
        self._send(self._build_append_request(identity, previous, term, entries, now))

    def _build_append_request(
        self,
        identity: str,
        previous: int,
        previous_term: int,
        entries: tuple[LogEntry, ...],
        now: Milliseconds,
    ) -> AppendRequest:
        return AppendRequest(
            self.cluster,
            self.identity,
            identity,
            self.term,
            previous,
            previous_term,
            entries,
            self.commit_index,
            now,
            echoes=True,
            echo=self._echo_for(identity, now),
        )

    def _echo_for(self, identity: str, now: Milliseconds) -> tuple[int, float, float] | None:
        """Return the newest stamp of a member, and the age of the quorum when it arrived.

        `None` until it has sent one, and while this leader may lack commits of an earlier one.
        """
        follower = self._followers.find(identity)
        confirmed_at = self.confirmed_at(now)
        if follower is None or follower.stamp is None or confirmed_at == float("-inf"):
            return None
        return (*follower.stamp, max(0.0, follower.stamped_at - confirmed_at))

    def _send_snapshot(self, identity: str, follower: Follower, now: Milliseconds) -> None:
        if now < follower.snapshot_sent_at + SNAPSHOT_RESEND_PERIOD:
            return
        follower.snapshot_sent_at = now
        self._send(
            SnapshotRequest(
                self.cluster, self.identity, identity, self.term, self.log.snapshot, now
            )
        )

    def _on_append_reply(self, message: AppendReply, now: Milliseconds) -> None:
        if message.term > self.term:
            self._become_follower(message.term, None)
            return
        follower = self._followers.find(message.sender)
        if not self.is_leader or message.term < self.term or follower is None:
            return
        follower.record_reply(message.sent_at, message.match_index, success=message.success)
        is_first_stamp = follower.record_stamp(message.stamp, now)
        committed = self.commit_index
        if message.success:
            self._advance_commit()
        if self.commit_index > committed and self.is_leader:
            # Followers relay committed changes to the entries; send the new commit index now, so
            # that they need not wait for the next heartbeat.
            self._replicate(now)
            return
        # Entries can't follow a member before it is confirmed, so the first echo doesn't wait for
        # the next heartbeat.
        is_unconfirmed = is_first_stamp and self.has_committed_in_term
        if self.is_leader and (is_unconfirmed or follower.next_index <= self.log.last_index):
            self._replicate_to(message.sender, now)

    def _advance_commit(self) -> None:
        index = self._followers.quorum_match_index(self.members, self._stored_index)
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit_up_to(index)
            if self.log.members_index <= index and self.identity not in self.members.voters:
                self._become_follower(self.term, None)

    def _commit_up_to(self, index: int) -> None:
        self.commit_index = index
        self._output.committed.extend(self.log.slice(self._last_delivered_index + 1, index))
        self._last_delivered_index = index

    # Replication on a follower

    def _on_append(self, message: AppendRequest, now: Milliseconds) -> None:
        if message.term < self.term:
            self._reply_append(message.sender, message.sent_at, False, self.log.last_index, now)
            return
        self._accept_leader(message.sender, message.term, now)
        if message.previous_index < self.commit_index:
            self._merge_committed_prefix(message, now)
            self._record_caught_up(message, now)
            return
        if self.log.term_at(message.previous_index) != message.previous_term:
            hint = min(self.log.last_index, message.previous_index - 1)
            match_index = max(hint, self.commit_index)
            self._reply_append(message.sender, message.sent_at, False, match_index, now)
            return
        self._merge(message.entries)
        match_index = message.previous_index + len(message.entries)
        self._advance_commit_from_leader(min(message.commit, match_index))
        self._record_caught_up(message, now)
        self._reply_append(message.sender, message.sent_at, True, match_index, now)

    def _record_caught_up(self, message: AppendRequest, now: Milliseconds) -> None:
        if self.commit_index >= message.commit:
            self._confirmation.record(message, now)

    def _merge_committed_prefix(self, message: AppendRequest, now: Milliseconds) -> None:
        newer = [entry for entry in message.entries if entry.index > self.commit_index]
        self._merge(tuple(newer))
        match_index = newer[-1].index if newer else self.commit_index
        self._advance_commit_from_leader(min(message.commit, match_index))
        self._reply_append(message.sender, message.sent_at, True, match_index, now)

    def _merge(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            held = self.log.term_at(entry.index)
            if held == entry.term:
                continue
            if held is not None:
                self._truncate(entry.index)
            self._append(entry)

    def _truncate(self, index: int) -> None:
        if index <= self.commit_index:
            raise FulmarholdError(
                f"refused to remove the committed entry {index}",
                step="following",
                peer=self.leader or "",
            )
        self.log.truncate(index)
        self._stored_index = min(self._stored_index, index - 1)
        self._output.entries = [item for item in self._output.entries if item.index < index]
        earlier = self._output.truncate_from
        self._output.truncate_from = index if earlier is None else min(earlier, index)

    def _accept_leader(self, leader: str, term: int, now: Milliseconds) -> None:
        if term > self.term or self.role is not Role.FOLLOWER:
            self._become_follower(term, leader)
        self.leader = leader
        self._last_leader_contact_at = now
        # This leader's lease may now rely on this member, so the restart window ends.
        self._restart_window_end = float("-inf")
        self._reset_election_deadline(now)

    def _advance_commit_from_leader(self, index: int) -> None:
        if index > self.commit_index:
            self._commit_up_to(index)

    def _on_snapshot(self, message: SnapshotRequest, now: Milliseconds) -> None:
        if message.term < self.term:
            self._reply_append(message.sender, message.sent_at, False, self.log.last_index, now)
            return
        self._accept_leader(message.sender, message.term, now)
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log = MemoryLog(snapshot)
            self.commit_index = snapshot.index
            self._last_delivered_index = snapshot.index
            self._stored_index = 0
            self._output.installed_snapshot = snapshot
            self._output.truncate_from = None
            self._output.entries = []
            self._output.committed = []
        self._reply_append(message.sender, message.sent_at, True, self.commit_index, now)

    def _reply_append(
        self,
        leader: str,
        sent_at: Milliseconds,
        success: bool,
        match_index: int,
        now: Milliseconds,
    ) -> None:
        self._send(
            AppendReply(
                self.cluster,
                self.identity,
                leader,
                self.term,
                success,
                match_index,
                sent_at,
                self._confirmation.stamp(now),
            )
        )

    def _set_hard_state(self, hard_state: HardState) -> None:
        if hard_state != self._hard_state:
            self._hard_state = hard_state
            self._output.hard_state = hard_state

    def _send(self, message: PeerMessage) -> None:
        self._output.messages.append(message)
