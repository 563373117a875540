"""What a leader knows of the other members."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Milliseconds
    from fulmarhold.consensus.messages import Members


@dataclass
class Follower:
    """How far one member's log is known to go, and when it last acknowledged its leader."""

    next_index: int
    match_index: int = 0
    acknowledged_at: Milliseconds = float("-inf")
    snapshot_sent_at: Milliseconds = float("-inf")

    def note_reply(self, sent_at: Milliseconds, match_index: int, *, success: bool) -> None:
        """Take in the answer to a request that the leader sent at `sent_at`."""
        self.acknowledged_at = max(self.acknowledged_at, sent_at)
        if success:
            self.match_index = max(self.match_index, match_index)
            self.next_index = max(self.next_index, self.match_index + 1)
        else:
            self.next_index = max(1, min(self.next_index, match_index + 1))


class Followers:
    """The other members by identity; empty on a member that does not lead."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._followers: dict[str, Follower] = {}

    def begin(self, all_members: Iterable[str], next_index: int) -> None:
        """Start a term as the leader, knowing nothing of the others yet."""
        self._followers = {}
        self.admit(all_members, next_index)

    def admit(self, all_members: Iterable[str], next_index: int) -> None:
        """Add the members that are not known yet."""
        for identity in all_members:
            if identity != self._own:
                self._followers.setdefault(identity, Follower(next_index))

    def clear(self) -> None:
        """Forget everything on ceasing to lead."""
        self._followers = {}

    def follower(self, identity: str) -> Follower:
        """Return what is known of a member that was admitted."""
        return self._followers[identity]

    def find(self, identity: str) -> Follower | None:
        """Return what is known of the sender of a message, `None` for one not admitted."""
        return self._followers.get(identity)

    def match_index(self, identity: str) -> int:
        """Return up to where a member's synced log is known to equal the leader's."""
        follower = self._followers.get(identity)
        return follower.match_index if follower else 0

    def heard_by_quorum(self, members: Members, now: Milliseconds) -> Milliseconds:
        """Return since when a quorum, the leader included, has acknowledged the leader."""
        times = (
            now if voter == self._own else self._followers[voter].acknowledged_at
            for voter in members.voters
        )
        return sorted(times, reverse=True)[members.quorum - 1]

    def held_by_quorum(self, members: Members, last_index: int) -> int:
        """Return up to which index a quorum, the leader included, holds the leader's log."""
        indexes = (
            last_index if voter == self._own else self.match_index(voter)
            for voter in members.voters
        )
        return sorted(indexes, reverse=True)[members.quorum - 1]
