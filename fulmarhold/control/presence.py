"""What the leader knows of entries from their syncs.

It is discarded when leadership is lost; a new leader learns it again from the next syncs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.control.messages import EntrySync


@dataclass(frozen=True)
class EntryPresence:
    """What the last sync of one entry reported, and when it arrived."""

    version: int
    state: str
    incarnation: float
    heard_at: Milliseconds


class Presence:
    """The last sync of each entry, by name."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, EntryPresence] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """The names of all entries that have synced."""
        return tuple(self._entries)

    def record(self, sync: EntrySync) -> None:
        """Record a sync as the last one of its entry."""
        self._entries[sync.entry.name] = EntryPresence(
            sync.version, sync.state, sync.incarnation, self._clock.now()
        )

    def clear(self) -> None:
        """Forget all entries, at the loss of leadership."""
        self._entries.clear()

    def find(self, name: str) -> EntryPresence | None:
        """Return the last sync of an entry, if any."""
        return self._entries.get(name)

    def forget(self, name: str) -> None:
        """Forget one entry."""
        self._entries.pop(name, None)

    def silent_since(self, moment: Milliseconds, names: Iterable[str]) -> tuple[str, ...]:
        """Return the names of those entries that have not synced since `moment`."""
        return tuple(
            name
            for name in names
            if (known := self._entries.get(name)) is None or known.heard_at < moment
        )

    def behind(self, version: int, names: Iterable[str]) -> tuple[str, ...]:
        """Return the names of those entries that are not known to run `version` or a later one."""
        return tuple(
            name
            for name in names
            if (known := self._entries.get(name)) is None or known.version < version
        )

    def has_majority(self, version: int, names: Iterable[str]) -> bool:
        """Whether a majority of the named entries is known to run `version` or a later one."""
        names = tuple(names)
        running = len(names) - len(self.behind(version, names))
        return not names or running >= len(names) // 2 + 1
