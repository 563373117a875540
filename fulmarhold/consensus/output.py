"""What the decisions of a member leave for its caller to write, send and apply."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.consensus.messages import LogEntry, PeerMessage, Snapshot


@dataclass(frozen=True)
class HardState:
    """What must be synced before a vote is given: the term, and for whom the vote was."""

    term: int = 0
    voted_for: str | None = None


@dataclass
class Output:
    """What the caller must do, in this order: install, write, send, apply."""

    installed: Snapshot | None = None
    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: list[LogEntry] = field(default_factory=list)
    messages: list[PeerMessage] = field(default_factory=list)
    committed: list[LogEntry] = field(default_factory=list)

    @property
    def writes(self) -> bool:
        return bool(self.hard_state or self.entries or self.truncate_from is not None)
