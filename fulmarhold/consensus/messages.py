"""Messages between the voters and learners of the replicated log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from fulmarhold.wire.messages import message

KIND_NOTHING = "nothing"
KIND_COMMAND = "command"
KIND_MEMBERS = "members"


@dataclass(frozen=True)
class Members:
    """Who takes part, by identity: voters count for the quorum, learners only receive."""

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
    """One entry of the log; `data` is the command, or the packed members."""

    index: int
    term: int
    kind: str
    data: bytes


@dataclass(frozen=True)
class Snapshot:
    """The state machine after the entry at `index`, with the members of that moment."""

    index: int
    term: int
    members: Members
    state: bytes


@message
class VoteRequest:
    """Asks for a vote; `trial` asks only whether one would be given (pre-vote).

    `restarted` tells that the sender has started lately and knows no leader since.
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
    """Grants or denies a vote; `restarted` as in the request."""

    cluster: str
    sender: str
    recipient: str
    term: int
    trial: bool
    granted: bool
    restarted: bool = False


@message
class AppendRequest:
    """Entries after `previous_index`, or a heartbeat; `sent_at` is on the leader's clock."""

    cluster: str
    sender: str
    recipient: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_at: float


@message
class AppendReply:
    """Tells the leader up to where the sender's log is synced and equal to its own."""

    cluster: str
    sender: str
    recipient: str
    term: int
    success: bool
    match_index: int
    sent_at: float


@message
class SnapshotRequest:
    """A snapshot for a member whose next entries the leader no longer holds."""

    cluster: str
    sender: str
    recipient: str
    term: int
    snapshot: Snapshot
    sent_at: float


@message
class TakeOver:
    """Tells the recipient to stand for election at once: the leader hands over."""

    cluster: str
    sender: str
    recipient: str
    term: int


PeerMessage = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotRequest | TakeOver


@message
class MemberMessage:
    """A message between members with the endpoint where its sender listens."""

    endpoint: str
    content: list[Any]


def inconsistency(message: PeerMessage) -> str:
    """Return what no member that follows the protocol would send, empty if there is nothing.

    >>> inconsistency(AppendRequest("c", "a", "b", 1, 4, 1, (LogEntry(6, 1, "", b""),), 4, 0.0))
    'entry 6 does not follow 4'
    """
    if message.term < 0:
        return f"term {message.term}"
    if isinstance(message, SnapshotRequest) and message.snapshot.index < 0:
        return f"a snapshot up to {message.snapshot.index}"
    if isinstance(message, AppendRequest):
        return _append_inconsistency(message)
    return ""


def _append_inconsistency(message: AppendRequest) -> str:
    if message.previous_index < 0:
        return f"entries after {message.previous_index}"
    last = message.previous_index
    for entry in message.entries:
        if entry.index != last + 1:
            return f"entry {entry.index} does not follow {last}"
        if not 0 <= entry.term <= message.term:
            return f"entry {entry.index} of term {entry.term} in term {message.term}"
        last = entry.index
    return ""
