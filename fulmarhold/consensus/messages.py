"""Raft messages, and the log entries, snapshots and membership that they carry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from fulmarhold.wire.messages import message

# A follower's token for its present run, and its time.
Stamp = tuple[int, float]
KIND_NOOP = "nothing"
KIND_COMMAND = "command"
KIND_MEMBERS = "members"
# Terms and indices up to here can be incremented and still be stored in 64 bits.
MAX_NUMBER = 2**53


@dataclass(frozen=True)
class Members:
    """The endpoints of the cluster's members by identity.

    Voters count towards the quorum; learners only receive the log.
    """

    voters: dict[str, str]
    learners: dict[str, str]

    @property
    def all_members(self) -> dict[str, str]:
        return {**self.voters, **self.learners}

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1


@dataclass(frozen=True)
class LogEntry:
    """One log entry; `data` holds the command or the encoded members, depending on `kind`."""

    index: int
    term: int
    kind: str
    data: bytes


@dataclass(frozen=True)
class Snapshot:
    """The state machine and the members as of the entry at `index`."""

    index: int
    term: int
    members: Members
    state: bytes


@message
class VoteRequest:
    """Asks for a vote.

    `trial` marks a pre-vote, which asks only whether the vote would be granted. `transfer` marks
    an election that need not wait for a leader's lease to expire. `restarted` asks whether the
    recipient has restarted recently too; its sender has, and has not heard from a leader since.
    """

    cluster: str
    sender: str
    recipient: str
    term: int
    last_index: int
    last_term: int
    trial: bool
    transfer: bool
    restarted: bool = False


@message
class VoteReply:
    """Grants or denies a vote; `trial` and `restarted` repeat those of the request."""

    cluster: str
    sender: str
    recipient: str
    term: int
    trial: bool
    granted: bool
    restarted: bool = False


@message
class AppendRequest:
    """Replicates the entries after `previous_index`; a heartbeat if there are none.

    `sent_at` is on the leader's clock; the reply repeats it. `echo` is the newest stamp that the
    leader has from the recipient, and how many milliseconds before its arrival the leader was last
    confirmed by a quorum; it is missing until there is both. A leader of an earlier release never
    `echoes`.
    """

    cluster: str
    sender: str
    recipient: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_at: float
    echoes: bool = False
    echo: tuple[int, float, float] | None = None


@message
class AppendReply:
    """Tells the leader up to which index the sender's synced log matches the leader's.

    Without `success`, `match_index` is a hint for the index from which the leader retries. `stamp`
    comes back in the leader's next request; an earlier release sends none.
    """

    cluster: str
    sender: str
    recipient: str
    term: int
    success: bool
    match_index: int
    sent_at: float
    stamp: Stamp | None = None


@message
class SnapshotRequest:
    """Installs a snapshot on a member whose next entries the leader no longer holds."""

    cluster: str
    sender: str
    recipient: str
    term: int
    snapshot: Snapshot
    sent_at: float


@message
class TakeOver:
    """Transfers leadership: tells the recipient to start an election immediately."""

    cluster: str
    sender: str
    recipient: str
    term: int


PeerMessage = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | TakeOver


@message
class MemberMessage:
    """The envelope of a message between members, with the endpoint of its sender."""

    endpoint: str
    content: list[Any]


def protocol_violation(message: PeerMessage) -> str:
    """Return how a message violates the protocol, or an empty string if it does not.

    >>> entry = LogEntry(6, 1, "", b"")
    >>> protocol_violation(AppendRequest("c", "a", "b", 1, 4, 1, (entry,), 4, 0.0))
    'entry 6 does not follow 4'
    """
    if not 0 <= message.term <= MAX_NUMBER:
        return f"term {message.term} is negative or too large"
    if isinstance(message, SnapshotRequest):
        snapshot = message.snapshot
        if not (0 <= snapshot.index <= MAX_NUMBER and 0 <= snapshot.term <= MAX_NUMBER):
            return f"snapshot index {snapshot.index} or term is negative or too large"
    if isinstance(message, AppendRequest):
        return _append_violation(message)
    return ""


def _append_violation(message: AppendRequest) -> str:
    if not 0 <= message.previous_index <= MAX_NUMBER:
        return f"previous index {message.previous_index} is negative or too large"
    last = message.previous_index
    for entry in message.entries:
        if entry.index != last + 1:
            return f"entry {entry.index} does not follow {last}"
        if not 0 <= entry.term <= message.term:
            return f"entry {entry.index} has term {entry.term} in a request of term {message.term}"
        last = entry.index
    return ""
