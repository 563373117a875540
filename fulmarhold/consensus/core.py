"""The decisions of one member of the replicated log.

The core has no input or output and reads no clock: messages and times go in, and what is to be
written, sent and applied comes out of `take_output`. The caller must sync the writes of an output
before it sends the messages of that output or applies its entries.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from fulmarhold.consensus.followers import Followers
from fulmarhold.consensus.memory import MemoryLog, pack_members
from fulmarhold.consensus.messages import (
    KIND_MEMBERS,
    KIND_NOTHING,
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
    inconsistency,
)
from fulmarhold.consensus.output import HardState, Output
from fulmarhold.errors import FulmarholdError

if TYPE_CHECKING:
    from random import Random

    from fulmarhold.clock import Milliseconds
    from fulmarhold.consensus.followers import Follower

# Far above a round trip between data centres (9 ms) and a sync of a slow disk (125 ms); without a
# leader nothing is accepted and no started entry learns what to serve, so no longer than needed.
HEARTBEAT_PERIOD: Milliseconds = 100.0
MIN_ELECTION_TIMEOUT: Milliseconds = 450.0
MAX_ELECTION_TIMEOUT: Milliseconds = 900.0
# Shorter than the shortest election timeout, so that clocks that drift apart do no harm.
LEADER_LEASE: Milliseconds = 360.0
# After a start a member asks within this whether all voters have just started, and again after
# that long: about ten trips between data centres, so that two seldom ask at the same time.
RESTART_VOTE_SPREAD: Milliseconds = 100.0
SNAPSHOT_RESEND_PERIOD: Milliseconds = 2_000.0
HANDOVER_TIMEOUT: Milliseconds = 1_000.0
ENTRIES_PER_REQUEST = 256
BYTES_PER_REQUEST = 4 * 1024 * 1024


class Role(Enum):
    """What a member is at the moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotLeader(FulmarholdError):
    """The member is not the leader; `leader` is the identity of the one it knows, if any."""

    def __init__(self, leader: str | None) -> None:
        super().__init__("this instance does not lead", step="proposing", peer=leader or "")
        self.leader = leader


class MembershipRefused(FulmarholdError):
    """A change of members is not possible now; the message says why."""


class RaftCore:
    """One member: follower, candidate or leader."""

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
        self._random = random
        self._delivered = log.snapshot.index
        # A member that starts again may have promised a leader its patience before.
        has_history = hard_state.term > 0 or log.last_index > 0
        self._heard_at = now if has_history else float("-inf")
        self._election_at = now
        self._heartbeat_at = now
        self._votes: set[str] = set()
        self._trial = False
        self._followers = Followers(identity)
        self._first_of_term = 0
        self._handing_over_until: Milliseconds | None = None
        self._caught_up_at = float("-inf")
        # No leader can be left, nor a promise to one, once every voter has started anew.
        self._restarted_until = now + MIN_ELECTION_TIMEOUT if has_history else float("-inf")
        self._restart_vote_at = now + random.uniform(0.0, RESTART_VOTE_SPREAD)
        self._restarted_votes: set[str] = set()
        self.leader_since: Milliseconds = float("-inf")
        self._output = Output()
        self._reset_election(now)

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
    def has_settled(self) -> bool:
        """Whether this leader has committed an entry of its own term."""
        return self.is_leader and self.commit_index >= self._first_of_term

    def lease_until(self, now: Milliseconds) -> Milliseconds:
        """Return until when no other leader can be elected, as far as this leader knows."""
        if not self.is_leader or self._handing_over_until is not None:
            return float("-inf")
        return self._followers.heard_by_quorum(self.members, now) + LEADER_LEASE

    def can_serve_reads(self, now: Milliseconds) -> bool:
        """Whether what this leader has applied is the newest there is."""
        return self.has_settled and now < self.lease_until(now)

    def confirmed_at(self, now: Milliseconds) -> Milliseconds:
        """Return when this member last knew that it had committed all that its leader had."""
        if self.is_leader:
            return self.quorum_heard_at(now) if self.has_settled else float("-inf")
        return self._caught_up_at

    def quorum_heard_at(self, now: Milliseconds) -> Milliseconds:
        """Return since when a quorum is known to have followed this leader."""
        if not self.is_leader:
            return float("-inf")
        return self._followers.heard_by_quorum(self.members, now)

    def acknowledged_at(self, identity: str) -> Milliseconds:
        """Return when the leader sent what a member last acknowledged."""
        follower = self._followers.find(identity)
        return follower.acknowledged_at if follower else float("-inf")

    def ask_followers(self, now: Milliseconds) -> None:
        """Send to every member at once, as a leader that wants to know whether it still leads."""
        if self.is_leader:
            self._replicate(now)

    def match_index(self, identity: str) -> int:
        """Return up to where a member's synced log is known to equal this leader's."""
        return self._followers.match_index(identity)

    def take_output(self) -> Output:
        """Return what there is to do since the last call."""
        output, self._output = self._output, Output()
        return output

    def tick(self, now: Milliseconds) -> None:
        """Let time pass: elections, heartbeats, and stepping down when cut off."""
        if self.is_leader:
            self._tick_leader(now)
        elif now >= self._election_at:
            self._campaign(now, trial=True, transfer=False)
        elif self._has_restarted(now) and now >= self._restart_vote_at:
            self._ask_restarted(now)

    def propose(self, kind: str, data: bytes, now: Milliseconds) -> int:
        """Append an entry as the leader and return its index; raises `NotLeader`."""
        if not self.is_leader or self._handing_over_until is not None:
            raise NotLeader(self.leader)
        entry = LogEntry(self.log.last_index + 1, self.term, kind, data)
        self._append(entry)
        self._replicate(now)
        self._advance_commit()
        return entry.index

    def propose_members(self, members: Members, now: Milliseconds) -> int:
        """Change the members; at most one voter may come or go at a time.

        Raises `MembershipRefused` while another change is open, and `NotLeader`.
        """
        if not self.is_leader:
            raise NotLeader(self.leader)
        if not self.has_settled or self.log.members_index > self.commit_index:
            raise MembershipRefused("another change of members is not committed yet")
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
        """Ask the most advanced voter to take over; returns whether there is one to ask."""
        others = [voter for voter in self.members.voters if voter != self.identity]
        if not self.is_leader or not others:
            return False
        heir = max(others, key=self.match_index)
        if self.match_index(heir) < self.log.last_index:
            self._replicate(now)
            return False
        self._handing_over_until = now + HANDOVER_TIMEOUT
        self._send(TakeOver(self.cluster, self.identity, heir, self.term))
        return True

    def receive(self, message: PeerMessage, now: Milliseconds) -> None:
        """Handle a message; one for someone else, or without sense, changes nothing."""
        is_own = message.cluster == self.cluster and message.recipient == self.identity
        if not is_own or inconsistency(message):
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
        """Drop log entries up to `start` that a synced snapshot covers."""
        self.log.compact(snapshot, start)

    # Elections

    def _campaign(self, now: Milliseconds, *, trial: bool, transfer: bool) -> None:
        self._reset_election(now)
        if self.identity not in self.members.voters:
            return
        self.role = Role.CANDIDATE
        self.leader = None
        self._trial = trial
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

    def _has_restarted(self, now: Milliseconds) -> bool:
        return now < self._restarted_until and self.leader is None

    def _ask_restarted(self, now: Milliseconds) -> None:
        """Ask the voters whether all of them have just started, without becoming a candidate."""
        self._restart_vote_at = now + self._random.uniform(1.0, 2.0) * RESTART_VOTE_SPREAD
        self._restarted_votes = {self.identity}
        if self.identity in self.members.voters:
            self._request_votes(self.term + 1, trial=True, transfer=False, restarted=True)

    def _answer_restarted(self, message: VoteRequest, now: Milliseconds) -> None:
        up_to_date = self._is_up_to_date(message)
        granted = self._has_restarted(now) and up_to_date and message.term > self.term
        if granted:
            self._restart_vote_at = now + self._random.uniform(2.0, 4.0) * RESTART_VOTE_SPREAD
            if message.sender < self.identity:
                # Of several that ask at the same time one goes on, or they would split the votes.
                self._restarted_votes.clear()
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

    def _count_restarted(self, message: VoteReply, now: Milliseconds) -> None:
        is_current = message.granted and message.term == self.term + 1
        has_given_way = self.identity not in self._restarted_votes
        if not is_current or has_given_way or not self._has_restarted(now):
            return
        self._restarted_votes.add(message.sender)
        if self._restarted_votes >= set(self.members.voters):
            self._campaign(now, trial=False, transfer=True)

    def _on_vote_request(self, message: VoteRequest, now: Milliseconds) -> None:
        if message.restarted:
            self._answer_restarted(message, now)
            return
        if not message.transfer and self._is_loyal(now):
            self._reply_vote(message, granted=False)
            return
        if not message.trial and message.term > self.term:
            self._become_follower(message.term, None)
        up_to_date = self._is_up_to_date(message)
        if message.trial:
            self._reply_vote(message, granted=up_to_date and message.term > self.term)
            return
        free = self._hard_state.voted_for in (None, message.sender)
        granted = message.term == self.term and free and up_to_date
        if granted:
            self._set_hard_state(HardState(self.term, message.sender))
            self._reset_election(now)
        self._reply_vote(message, granted=granted)

    def _is_up_to_date(self, message: VoteRequest) -> bool:
        own = (self.log.last_term, self.log.last_index)
        return (message.last_term, message.last_index) >= own

    def _is_loyal(self, now: Milliseconds) -> bool:
        if self.is_leader:
            return now < self.lease_until(now)
        return now < self._heard_at + MIN_ELECTION_TIMEOUT

    def _reply_vote(self, message: VoteRequest, *, granted: bool) -> None:
        term = message.term if granted else self.term
        self._send(
            VoteReply(self.cluster, self.identity, message.sender, term, message.trial, granted)
        )

    def _on_vote_reply(self, message: VoteReply, now: Milliseconds) -> None:
        if message.restarted:
            self._count_restarted(message, now)
            return
        if not message.granted:
            if message.term > self.term:
                self._become_follower(message.term, None)
            return
        expected = self.term + 1 if message.trial else self.term
        if (
            self.role is Role.CANDIDATE
            and message.trial == self._trial
            and message.term == expected
            and message.sender in self.members.voters
        ):
            self._votes.add(message.sender)
            self._count_votes(now)

    def _count_votes(self, now: Milliseconds) -> None:
        if len(self._votes) < self.members.quorum:
            return
        if self._trial:
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
        self._handing_over_until = None
        self._followers.begin(self.members.all_members, self.log.last_index + 1)
        self._first_of_term = self.log.last_index + 1
        self._append(LogEntry(self._first_of_term, self.term, KIND_NOTHING, b""))
        self._heard_at = now
        self._replicate(now)
        self._advance_commit()

    def _become_follower(self, term: int, leader: str | None) -> None:
        if term > self.term:
            self._set_hard_state(HardState(term, None))
        self.role = Role.FOLLOWER
        self.leader = leader
        self._handing_over_until = None
        self._followers.clear()

    def _reset_election(self, now: Milliseconds) -> None:
        self._election_at = now + self._random.uniform(MIN_ELECTION_TIMEOUT, MAX_ELECTION_TIMEOUT)

    # Replication, as leader

    def _tick_leader(self, now: Milliseconds) -> None:
        if self._handing_over_until is not None:
            if now >= self._handing_over_until:
                self._become_follower(self.term, None)
                self._reset_election(now)
            return
        silent_since = self.lease_until(now) - LEADER_LEASE
        if now - max(silent_since, self._heard_at) > MIN_ELECTION_TIMEOUT:
            self._become_follower(self.term, None)
            self._reset_election(now)
        elif now >= self._heartbeat_at:
            self._replicate(now)

    def _append(self, entry: LogEntry) -> None:
        self.log.append(entry)
        self._output.entries.append(entry)
        if entry.kind == KIND_MEMBERS and self.is_leader:
            self._followers.admit(self.members.all_members, self.log.first_index)

    def _replicate(self, now: Milliseconds) -> None:
        self._heartbeat_at = now + HEARTBEAT_PERIOD
        for identity in self.members.all_members:
            if identity != self.identity:
                self._replicate_to(identity, now)

    def heartbeats(self, now: Milliseconds) -> list[AppendRequest]:
        """Return requests without entries that rest on nothing this leader still has to sync."""
        requests = []
        for identity in self.members.all_members if self.is_leader else ():
            if identity == self.identity:
                continue
            index = self._followers.match_index(identity)
            term = self.log.term_at(index)
            if term is not None:
                requests.append(self._append_request(identity, index, term, (), now))
        return requests

    def _replicate_to(self, identity: str, now: Milliseconds) -> None:
        follower = self._followers.follower(identity)
        if follower.next_index < self.log.first_index:
            self._send_snapshot(identity, follower, now)
            return
        previous = follower.next_index - 1
        entries = self.log.batch(follower.next_index, ENTRIES_PER_REQUEST, BYTES_PER_REQUEST)
        follower.next_index += len(entries)
        term = self.log.term_at(previous) or 0
        self._send(self._append_request(identity, previous, term, entries, now))

    def _append_request(
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
        )

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
        follower.note_reply(message.sent_at, message.match_index, success=message.success)
        committed = self.commit_index
        if message.success:
            self._advance_commit()
        if self.commit_index > committed and self.is_leader:
            # Followers pass on what is committed to entries; they need not wait for a heartbeat.
            self._replicate(now)
            return
        if self.is_leader and follower.next_index <= self.log.last_index:
            self._replicate_to(message.sender, now)

    def _advance_commit(self) -> None:
        index = self._followers.held_by_quorum(self.members, self.log.last_index)
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit_up_to(index)
            if self.log.members_index <= index and self.identity not in self.members.voters:
                self._become_follower(self.term, None)

    def _commit_up_to(self, index: int) -> None:
        self.commit_index = index
        self._output.committed.extend(self.log.slice(self._delivered + 1, index))
        self._delivered = index

    # Replication, as follower

    def _on_append(self, message: AppendRequest, now: Milliseconds) -> None:
        if message.term < self.term:
            self._reply_append(message.sender, message.sent_at, False, self.log.last_index)
            return
        self._follow(message.sender, message.term, now)
        if message.previous_index < self.commit_index:
            self._merge_committed_prefix(message)
            self._note_caught_up(message.commit, now)
            return
        if self.log.term_at(message.previous_index) != message.previous_term:
            hint = min(self.log.last_index, message.previous_index - 1)
            self._reply_append(message.sender, message.sent_at, False, max(hint, self.commit_index))
            return
        self._merge(message.entries)
        match_index = message.previous_index + len(message.entries)
        self._follow_commit(min(message.commit, match_index))
        self._note_caught_up(message.commit, now)
        self._reply_append(message.sender, message.sent_at, True, match_index)

    def _note_caught_up(self, leader_commit: int, now: Milliseconds) -> None:
        if self.commit_index >= leader_commit:
            self._caught_up_at = now

    def _merge_committed_prefix(self, message: AppendRequest) -> None:
        newer = [entry for entry in message.entries if entry.index > self.commit_index]
        self._merge(tuple(newer))
        match_index = newer[-1].index if newer else self.commit_index
        self._follow_commit(min(message.commit, match_index))
        self._reply_append(message.sender, message.sent_at, True, match_index)

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
        self._output.entries = [item for item in self._output.entries if item.index < index]
        earlier = self._output.truncate_from
        self._output.truncate_from = index if earlier is None else min(earlier, index)

    def _follow(self, leader: str, term: int, now: Milliseconds) -> None:
        if term > self.term or self.role is not Role.FOLLOWER:
            self._become_follower(term, leader)
        self.leader = leader
        self._heard_at = now
        # From now on this leader may count on its patience.
        self._restarted_until = float("-inf")
        self._reset_election(now)

    def _follow_commit(self, index: int) -> None:
        if index > self.commit_index:
            self._commit_up_to(index)

    def _on_snapshot(self, message: SnapshotRequest, now: Milliseconds) -> None:
        if message.term < self.term:
            self._reply_append(message.sender, message.sent_at, False, self.log.last_index)
            return
        self._follow(message.sender, message.term, now)
        snapshot = message.snapshot
        if snapshot.index > self.commit_index:
            self.log = MemoryLog(snapshot)
            self.commit_index = snapshot.index
            self._delivered = snapshot.index
            self._output.installed = snapshot
            self._output.truncate_from = None
            self._output.entries = []
            self._output.committed = []
        self._reply_append(message.sender, message.sent_at, True, self.commit_index)

    def _reply_append(
        self, leader: str, sent_at: Milliseconds, success: bool, match_index: int
    ) -> None:
        self._send(
            AppendReply(
                self.cluster, self.identity, leader, self.term, success, match_index, sent_at
            )
        )

    def _set_hard_state(self, hard_state: HardState) -> None:
        if hard_state != self._hard_state:
            self._hard_state = hard_state
            self._output.hard_state = hard_state

    def _send(self, message: PeerMessage) -> None:
        self._output.messages.append(message)
