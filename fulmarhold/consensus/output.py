"""The output of the Raft core: what its caller has to write, send and apply."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.consensus.messages import LogEntry, PeerMessage, Snapshot


@dataclass(frozen=True)
class HardState:
    """The term and the vote of a member, which must be synced before the vote is sent."""

    term: int = 0
    voted_for: str | None = None


@dataclass
class Output:
    """Work for the caller, in this order: install the snapshot, write, send, apply."""

    installed_snapshot: Snapshot | None = None
    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: list[LogEntry] = field(default_factory=list)
    messages: list[PeerMessage] = field(default_factory=list)
    committed: list[LogEntry] = field(default_factory=list)

    @property
    def has_writes(self) -> bool:
        return bool(self.hard_state or self.entries or self.truncate_from is not None)
