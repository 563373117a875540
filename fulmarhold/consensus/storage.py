"""The durable state of one member: identity, log and snapshots in one data folder."""

from __future__ import annotations

import fcntl
import os
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from fulmarhold.consensus.memory import MemoryLog
from fulmarhold.consensus.messages import LogEntry, Members, Snapshot
from fulmarhold.consensus.output import HardState, Output
from fulmarhold.consensus.records import CorruptFile, decode_records, encode_record
from fulmarhold.errors import FulmarholdError
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

log = get_logger("storage")

IDENTITY_FILE = "identity.bin"
LOG_FILE = "log.bin"
LOCK_FILE = "lock"
SNAPSHOT_PREFIX = "snapshot-"
SNAPSHOTS_KEPT = 2
MIN_LOG_BYTES_TO_COMPACT = 256 * 1024
LOG_TO_SNAPSHOT_RATIO = 2

RECORD_TERM = "term"
RECORD_ENTRY = "entry"
RECORD_TRUNCATE = "truncate"
RECORD_START = "start"

EMPTY_SNAPSHOT = Snapshot(0, 0, Members({}, {}), b"")


class StorageFailed(FulmarholdError):
    """A write or sync failed; the process must exit, as the state on disk is unknown."""


@dataclass(frozen=True)
class Identity:
    """The member and cluster that a data folder belongs to; a new folder makes a new member."""

    member: str
    cluster: str


class Storage:
    """The files of one member.

    Every write is synced before it returns, and so is the folder if a file was created or renamed.
    """

    def __init__(self, folder: Path, sync: Callable[[int], None] = os.fsync) -> None:
        self._folder = folder
        self._sync = sync
        self._hard_state = HardState()
        self._log_file: Any = None
        # Counts only the records since the newest snapshot; the log file also holds the entries
        # since the snapshot before it.
        self._appended_bytes = 0
        self._snapshot_bytes = 0
        self._lock = self._acquire_lock()
        self.identity = self._load_identity()

    @property
    def is_compaction_due(self) -> bool:
        """Whether the log has grown enough since the last snapshot to justify a new one."""
        threshold = max(MIN_LOG_BYTES_TO_COMPACT, LOG_TO_SNAPSHOT_RATIO * self._snapshot_bytes)
        return self._appended_bytes > threshold

    def join_cluster(self, cluster: str) -> None:
        """Store the cluster that this member belongs to from now on."""
        self.identity = Identity(self.identity.member, cluster)
        self._write_atomically(IDENTITY_FILE, encode_record([self.identity.member, cluster]))

    def load(self) -> tuple[HardState, MemoryLog]:
        """Load the synced state; raises `CorruptFile` if a file is damaged."""
        path = self._folder / LOG_FILE
        data = path.read_bytes() if path.exists() else b""
        records = decode_records(path, data)
        if records.length < len(data):
            log.warning(
                "dropped an incomplete tail of {} bytes from {}",
                len(data) - records.length,
                path,
            )
            with path.open("r+b") as file:
                file.truncate(records.length)
                self._sync(file.fileno())
        hard_state, memory = self._replay(path, records.values)
        newer_entries = memory.slice(memory.snapshot.index + 1, memory.last_index)
        self._appended_bytes = sum(len(_entry_record(entry)) for entry in newer_entries)
        self._log_file = path.open("ab")
        self._sync_folder()
        return hard_state, memory

    def write(self, output: Output, memory: MemoryLog) -> None:
        """Write and sync one output of the core; raises `StorageFailed`."""
        try:
            if output.installed_snapshot is not None:
                self._save_snapshot(output.installed_snapshot)
                self._rewrite_log(output.hard_state or self._hard_state, memory)
                self._hard_state = output.hard_state or self._hard_state
            elif output.has_writes:
                self._append(output)
        except OSError as error:
            raise StorageFailed(f"can't sync the log: {error}", step="syncing") from error

    def compact(self, snapshot: Snapshot, memory: MemoryLog) -> None:
        """Save a snapshot and drop the log entries that the oldest kept snapshot covers."""
        try:
            self._save_snapshot(snapshot)
            start = max(memory.first_index - 1, self._oldest_snapshot_index())
            memory.compact(snapshot, start)
            self._rewrite_log(self._hard_state, memory)
        except OSError as error:
            raise StorageFailed(f"can't save a snapshot: {error}", step="syncing") from error

    def close(self) -> None:
        """Close the files and release the lock on the data folder."""
        if self._log_file is not None:
            self._log_file.close()
        self._lock.close()

    def _acquire_lock(self) -> Any:
        self._folder.mkdir(parents=True, exist_ok=True)
        lock = (self._folder / LOCK_FILE).open("a")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise FulmarholdError(
                f"data folder {self._folder} is in use by another process", step="starting"
            ) from error
        return lock

    def _load_identity(self) -> Identity:
        path = self._folder / IDENTITY_FILE
        if path.exists():
            records = decode_records(path, path.read_bytes())
            if len(records.values) != 1:
                raise CorruptFile(path, records.length, "the identity record is incomplete")
            member, cluster = records.values[0]
            return Identity(member, cluster)
        if (self._folder / LOG_FILE).exists():
            raise CorruptFile(path, 0, "a log exists, but the identity is missing")
        identity = Identity(uuid.uuid4().hex, "")
        self._write_atomically(IDENTITY_FILE, encode_record([identity.member, identity.cluster]))
        return identity

    def _replay(self, path: Path, values: tuple[Any, ...]) -> tuple[HardState, MemoryLog]:
        self._hard_state = HardState()
        start = 0
        entries: list[LogEntry] = []
        for value in values:
            match value:
                case [str(kind), index] if kind == RECORD_START:
                    start = index
                case [str(kind), term, voted_for] if kind == RECORD_TERM:
                    self._hard_state = HardState(term, voted_for)
                case [str(kind), index] if kind == RECORD_TRUNCATE:
                    entries = [entry for entry in entries if entry.index < index]
                case [str(kind), *fields] if kind == RECORD_ENTRY:
                    entries.append(LogEntry(*fields))
                case _:
                    raise CorruptFile(path, 0, f"unknown record {value!r:.40}")
        snapshot = self._newest_snapshot(start)
        self._snapshot_bytes = len(snapshot.state)
        newer_entries = [entry for entry in entries if entry.index > snapshot.index]
        memory = MemoryLog(snapshot)
        for entry in newer_entries:
            if entry.index != memory.last_index + 1:
                raise CorruptFile(path, 0, f"entry {memory.last_index + 1} is missing")
            memory.append(entry)
        return self._hard_state, memory

    def _newest_snapshot(self, start: int) -> Snapshot:
        """Return the newest valid snapshot; it must cover all entries before the log's start."""
        snapshot_error: CorruptFile | None = None
        for path in sorted(self._snapshot_paths(), reverse=True):
            try:
                snapshot = _read_snapshot(path)
            except CorruptFile as error:
                log.warning("skipped a damaged snapshot: {}", error)
                snapshot_error = error
                continue
            if snapshot.index >= start:
                return snapshot
        if start > 0:
            missing = self._folder / _snapshot_name(start)
            raise snapshot_error or CorruptFile(
                missing, 0, "the snapshot that the log needs is missing"
            )
        return EMPTY_SNAPSHOT

    def _append(self, output: Output) -> None:
        parts: list[bytes] = []
        if output.hard_state is not None:
            self._hard_state = output.hard_state
            parts.append(_term_record(output.hard_state))
        if output.truncate_from is not None:
            parts.append(encode_record([RECORD_TRUNCATE, output.truncate_from]))
        parts.extend(_entry_record(entry) for entry in output.entries)
        data = b"".join(parts)
        self._log_file.write(data)
        self._log_file.flush()
        self._sync(self._log_file.fileno())
        self._appended_bytes += len(data)

    def _rewrite_log(self, hard_state: HardState, memory: MemoryLog) -> None:
        """Replace the log file by one that starts at the first entry held in `memory`."""
        parts = [
            encode_record([RECORD_START, memory.first_index - 1]),
            _term_record(hard_state),
        ]
        entries = memory.slice(memory.first_index, memory.last_index)
        parts.extend(_entry_record(entry) for entry in entries)
        data = b"".join(parts)
        self._write_atomically(LOG_FILE, data)
        self._log_file.close()
        self._log_file = (self._folder / LOG_FILE).open("ab")

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        members = [snapshot.members.voters, snapshot.members.learners]
        record = encode_record([snapshot.index, snapshot.term, members, snapshot.state])
        self._write_atomically(_snapshot_name(snapshot.index), record)
        self._snapshot_bytes = len(snapshot.state)
        self._appended_bytes = 0
        for path in sorted(self._snapshot_paths())[:-SNAPSHOTS_KEPT]:
            path.unlink()

    def _oldest_snapshot_index(self) -> int:
        paths = sorted(self._snapshot_paths())
        return _read_snapshot(paths[0]).index if len(paths) >= SNAPSHOTS_KEPT else 0

    def _snapshot_paths(self) -> list[Path]:
        return [path for path in self._folder.glob(f"{SNAPSHOT_PREFIX}*") if path.suffix == ".bin"]

    def _write_atomically(self, name: str, data: bytes) -> None:
        temporary = self._folder / f"{name}.tmp"
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            self._sync(file.fileno())
        temporary.replace(self._folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        sync_folder(self._folder, self._sync)


def sync_folder(folder: Path, sync: Callable[[int], None] = os.fsync) -> None:
    """Sync a folder, so that created, renamed and removed files in it survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        sync(descriptor)
    finally:
        os.close(descriptor)


def _snapshot_name(index: int) -> str:
    return f"{SNAPSHOT_PREFIX}{index:016d}.bin"


def _read_snapshot(path: Path) -> Snapshot:
    records = decode_records(path, path.read_bytes())
    if len(records.values) != 1:
        raise CorruptFile(path, records.length, "the snapshot is incomplete")
    index, term, (voters, learners), state = records.values[0]
    return Snapshot(index, term, Members(voters, learners), state)


def _term_record(hard_state: HardState) -> bytes:
    return encode_record([RECORD_TERM, hard_state.term, hard_state.voted_for])


def _entry_record(entry: LogEntry) -> bytes:
    return encode_record([RECORD_ENTRY, entry.index, entry.term, entry.kind, entry.data])
