"""The replication progress of the other members, as tracked by the leader."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Milliseconds
    from fulmarhold.consensus.messages import Members, Stamp


@dataclass
class Follower:
    """The replication progress of one member and the time of its last acknowledgement."""

    next_index: int
    match_index: int = 0
    acknowledged_at: Milliseconds = float("-inf")
    snapshot_sent_at: Milliseconds = float("-inf")
    # The newest stamp of its replies, which the next request repeats.
    stamp: Stamp | None = None
    # When that stamp arrived.
    stamped_at: Milliseconds = float("-inf")

    def record_stamp(self, stamp: Stamp | None, now: Milliseconds) -> bool:
        """Keep the stamp of a reply if it is newer; returns whether it is the first one."""
        is_first = self.stamp is None
        is_same_run = self.stamp is not None and stamp is not None and stamp[0] == self.stamp[0]
        if stamp is not None and not (is_same_run and self.stamp and stamp < self.stamp):
            self.stamp, self.stamped_at = stamp, now
        return is_first and self.stamp is not None

    def record_reply(self, sent_at: Milliseconds, match_index: int, *, success: bool) -> None:
        """Update the progress from the reply to a request that the leader sent at `sent_at`."""
        self.acknowledged_at = max(self.acknowledged_at, sent_at)
        if success:
            self.match_index = max(self.match_index, match_index)
            self.next_index = max(self.next_index, self.match_index + 1)
        else:
            self.next_index = max(1, min(self.next_index, match_index + 1))


class Followers:
    """The progress of the other members by identity; empty unless this member leads."""

    def __init__(self, own_identity: str) -> None:
        self._own_identity = own_identity
        self._followers: dict[str, Follower] = {}

    def reset(self, all_members: Iterable[str], next_index: int) -> None:
        """Discard all progress and track the given members, at the start of a leader's term."""
        self._followers = {}
        self.admit(all_members, next_index)

    def admit(self, all_members: Iterable[str], next_index: int) -> None:
        """Track the members that are not tracked yet."""
        for identity in all_members:
            if identity != self._own_identity:
                self._followers.setdefault(identity, Follower(next_index))

    def clear(self) -> None:
        """Stop tracking all members, when leadership ends."""
        self._followers = {}

    def follower(self, identity: str) -> Follower:
        """Return the progress of a tracked member; raises `KeyError` for any other."""
        return self._followers[identity]

    def find(self, identity: str) -> Follower | None:
        """Return the progress of a member, or `None` if it is not tracked."""
        return self._followers.get(identity)

    def match_index(self, identity: str) -> int:
        """Return the highest index up to which a member's synced log matches the leader's."""
        follower = self._followers.get(identity)
        return follower.match_index if follower else 0

    def acknowledged_by_quorum_at(self, members: Members, now: Milliseconds) -> Milliseconds:
        """Return the latest time as of which a quorum, leader included, has acknowledged."""
        times = (
            now if voter == self._own_identity else self._followers[voter].acknowledged_at
            for voter in members.voters
        )
        return sorted(times, reverse=True)[members.quorum - 1]

    def quorum_match_index(self, members: Members, own_index: int) -> int:
        """Return the highest index that a quorum holds; the leader itself up to `own_index`."""
        indexes = (
            own_index if voter == self._own_identity else self.match_index(voter)
            for voter in members.voters
        )
        return sorted(indexes, reverse=True)[members.quorum - 1]
