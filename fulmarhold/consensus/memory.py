"""The in-memory tail of the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgpack

from fulmarhold.consensus.messages import KIND_MEMBERS, LogEntry, Members, Snapshot

if TYPE_CHECKING:
    from collections.abc import Iterable


class MemoryLog:
    """A snapshot and the log entries held in memory, addressed by their log index.

    Entries that the snapshot covers may be kept too; `first_index` is the lowest index held.
    """

    def __init__(self, snapshot: Snapshot, entries: Iterable[LogEntry] = ()) -> None:
        self.snapshot = snapshot
        self._start = snapshot.index
        self._start_term = snapshot.term
        self._entries: list[LogEntry] = []
        self._members: list[tuple[int, Members]] = [(snapshot.index, snapshot.members)]
        for entry in entries:
            self.append(entry)

    @property
    def first_index(self) -> int:
        """The lowest index whose entry is held."""
        return self._start + 1

    @property
    def last_index(self) -> int:
        return self._start + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self._start_term

    @property
    def members(self) -> Members:
        """The members according to the newest membership entry, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """The index of the newest membership entry, or of the start of the held log."""
        return self._members[-1][0]

    def members_at(self, index: int) -> Members:
        """Return the members that are in effect after the entry at `index`."""
        known = [members for changed_at, members in self._members if changed_at <= index]
        return known[-1] if known else self._members[0][1]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or `None` if it is not held."""
        if index == self._start:
            return self._start_term
        entry = self.entry(index)
        return entry.term if entry else None

    def entry(self, index: int) -> LogEntry | None:
        """Return the entry at `index`, or `None` if it is not held."""
        offset = index - self._start - 1
        return self._entries[offset] if 0 <= offset < len(self._entries) else None

    def slice(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last`, both inclusive."""
        return tuple(self._entries[first - self._start - 1 : last - self._start])

    def batch(self, first: int, max_entries: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` on that fit both limits, at least one if any exist."""
        entries = self.slice(first, min(self.last_index, first + max_entries - 1))
        size = 0
        for count, entry in enumerate(entries):
            size += len(entry.data)
            if size > max_bytes and count > 0:
                return entries[:count]
        return entries

    def append(self, entry: LogEntry) -> None:
        """Append an entry; raises `ValueError` if its index is not the next one."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow {self.last_index}")
        self._entries.append(entry)
        if entry.kind == KIND_MEMBERS:
            self._members.append((entry.index, unpack_members(entry.data)))

    def truncate(self, index: int) -> None:
        """Remove the entry at `index` and all after it."""
        del self._entries[index - self._start - 1 :]
        while len(self._members) > 1 and self._members[-1][0] >= index:
            self._members.pop()

    def compact(self, snapshot: Snapshot, start: int) -> None:
        """Adopt a newer snapshot and drop the entries up to `start`, which it must cover."""
        self.snapshot = snapshot
        term = self.term_at(start)
        if term is None or start > snapshot.index:
            raise ValueError(
                f"entries up to {start} can't be dropped: not held, or not covered by the snapshot"
            )
        members = self.members_at(start)
        self._members = [(start, members), *(item for item in self._members if item[0] > start)]
        self._start_term = term
        del self._entries[: start - self._start]
        self._start = start


def pack_members(members: Members) -> bytes:
    """Encode the members as the data of a log entry."""
    packed: bytes = msgpack.packb([members.voters, members.learners])
    return packed


def unpack_members(data: bytes) -> Members:
    """Decode the members from the data of a log entry."""
    voters, learners = msgpack.unpackb(data)
    return Members(voters, learners)
