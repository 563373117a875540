"""The durable state of one member: identity, log and snapshots in one data folder."""

from __future__ import annotations

import fcntl
import itertools
import os
import uuid
from dataclasses import dataclass
from io import FileIO
from typing import TYPE_CHECKING, Any

import msgspec
import xxhash

from fulmarhold.consensus.founding import FoundingVote
from fulmarhold.consensus.memory import MemoryLog
from fulmarhold.consensus.messages import LogEntry, Members, Snapshot
from fulmarhold.consensus.output import HardState, Output
from fulmarhold.consensus.records import CorruptFile, decode_records, encode_record
from fulmarhold.errors import FulmarholdError
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from pathlib import Path

log = get_logger("storage")

IDENTITY_FILE = "identity.bin"
FOUNDING_FILE = "founding.bin"
# The first segment of the log; later ones also carry the index before their first entry.
LOG_FILE = "log.bin"
LOG_SUFFIX = ".bin"
LATER_SEGMENT_PREFIX = "log-"
LOCK_FILE = "lock"
SNAPSHOT_PREFIX = "snapshot-"
SNAPSHOTS_KEPT = 2
MIN_LOG_BYTES_TO_COMPACT = 256 * 1024
LOG_TO_SNAPSHOT_RATIO = 2
# A snapshot is written and synced in pieces of this size, so that a sync of the log never waits for
# more than one of them.
SNAPSHOT_PIECE_BYTES = 64 * 1024
# Members save their snapshots up to this many thresholds apart from each other.
COMPACTION_SPREAD = 1.0

RECORD_TERM = "term"
RECORD_ENTRY = "entry"
RECORD_TRUNCATE = "truncate"
RECORD_START = "start"
RECORD_RESET = "reset"

EMPTY_SNAPSHOT = Snapshot(0, 0, Members({}, {}), b"")


class StorageFailed(FulmarholdError):
    """A write or sync failed. What it should have stored is not promised; it may be repeated."""


@dataclass(frozen=True)
class Identity:
    """The member and cluster that a data folder belongs to; a new folder makes a new member."""

    member: str
    cluster: str


class Storage:
    """The files of one member.

    Every write is synced before it returns, and so is the folder if a file was created or renamed.
    Loading writes nothing, so a member also starts on a full disk. A failed write is undone by the
    next one, which first cuts the log back to what was synced.

    The log is a chain of segments. Saving a snapshot starts a new segment, so the entries that the
    snapshot covers are dropped with their files, without writing the remaining ones again.
    """

    def __init__(self, folder: Path, sync: Callable[[int], None] = os.fsync) -> None:
        self._folder = folder
        self._sync = sync
        self._hard_state = HardState()
        self._log_path = folder / LOG_FILE
        self._log_file: FileIO | None = None
        # The length up to which the current segment is synced; `None` before it is opened.
        self._synced_length = 0
        self._needs_repair = True
        # Counts only the records since the newest snapshot.
        self._appended_bytes = 0
        self._snapshot_bytes = 0
        self._lock = self._acquire_lock()
        self._is_identity_stored = True
        self.identity = self._load_identity()
        self.founding_vote = self._load_founding_vote()
        spread = xxhash.xxh32_intdigest(self.identity.member.encode()) / 2**32
        self._compaction_factor = 1.0 + COMPACTION_SPREAD * spread

    @property
    def is_compaction_due(self) -> bool:
        """Whether the log has grown enough since the last snapshot to justify a new one.

        The threshold differs between members, so that they do not all save at the same entry.
        """
        threshold = max(MIN_LOG_BYTES_TO_COMPACT, LOG_TO_SNAPSHOT_RATIO * self._snapshot_bytes)
        return self._appended_bytes > self._compaction_factor * threshold

    @property
    def covered_index(self) -> int:
        """The index up to which no log is needed, even if the newest snapshot is damaged."""
        snapshots = sorted(self._snapshot_paths())
        return _index_in_name(snapshots[-SNAPSHOTS_KEPT]) if len(snapshots) >= SNAPSHOTS_KEPT else 0

    def join_cluster(self, cluster: str) -> None:
        """Set the cluster that this member belongs to; stored before the first write there."""
        self.identity = Identity(self.identity.member, cluster)
        self._is_identity_stored = False

    def store_founding_vote(self, vote: FoundingVote) -> None:
        """Store and sync this member's vote in the founding; raises `StorageFailed`."""
        try:
            if not self._is_identity_stored:
                self._store_identity()
            self._write_atomically(FOUNDING_FILE, encode_record(msgspec.to_builtins(vote)))
        except OSError as error:
            raise StorageFailed(f"can't store the vote: {error}", step="founding") from error
        self.founding_vote = vote

    def load(self) -> tuple[HardState, MemoryLog]:
        """Load the synced state; raises `CorruptFile` if a file is damaged."""
        values: list[Any] = []
        for path in self._segment_paths() or [self._log_path]:
            data = path.read_bytes() if path.exists() else b""
            records = decode_records(path, data)
            if records.length < len(data):
                log.warning(
                    "dropped an incomplete tail of {} bytes from {}",
                    len(data) - records.length,
                    path,
                )
            values.extend(records.values)
            self._log_path, self._synced_length = path, records.length
        hard_state, memory = self._replay(self._log_path, tuple(values))
        newer_entries = memory.slice(memory.snapshot.index + 1, memory.last_index)
        self._appended_bytes = sum(len(_entry_record(entry)) for entry in newer_entries)
        return hard_state, memory

    def write(self, output: Output) -> None:
        """Write and sync one output of the core; raises `StorageFailed`."""
        try:
            if not self._is_identity_stored:
                self._store_identity()
            if output.installed_snapshot is not None:
                self._install(output.installed_snapshot, output)
            elif output.has_writes:
                self._append(output)
        except OSError as error:
            self._needs_repair = True
            raise StorageFailed(f"can't sync the log: {error}", step="syncing") from error

    def start_segment(self, index: int, entries: Sequence[LogEntry]) -> None:
        """Start a segment with the entries after `index`, which a snapshot is about to cover.

        Raises `StorageFailed`; the log goes on in the segment before then.
        """
        try:
            self._replace_segment(RECORD_START, index, entries)
        except OSError as error:
            raise StorageFailed(f"can't start a log segment: {error}", step="syncing") from error
        self._appended_bytes = 0

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Save a snapshot piece by piece; raises `StorageFailed`. May run beside other writes."""
        try:
            self._write_snapshot(snapshot)
        except (OSError, FulmarholdError) as error:
            raise StorageFailed(f"can't save a snapshot: {error}", step="syncing") from error

    def drop_covered(self) -> None:
        """Remove the files that the kept snapshots cover; raises `StorageFailed`."""
        try:
            for path in self._obsolete_paths():
                path.unlink()
        except OSError as error:
            raise StorageFailed(f"can't remove old files: {error}", step="compacting") from error

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
        if self._segment_paths():
            raise CorruptFile(path, 0, "a log exists, but the identity is missing")
        self.identity = Identity(uuid.uuid4().hex, "")
        self._is_identity_stored = False
        try:
            self._store_identity()
        except OSError as error:
            log.warning("the new identity is not stored yet: {}", error)
        return self.identity

    def _load_founding_vote(self) -> FoundingVote | None:
        path = self._folder / FOUNDING_FILE
        if not path.exists():
            return None
        records = decode_records(path, path.read_bytes())
        if len(records.values) != 1:
            raise CorruptFile(path, records.length, "the vote is incomplete")
        return msgspec.convert(records.values[0], FoundingVote)

    def _store_identity(self) -> None:
        record = encode_record([self.identity.member, self.identity.cluster])
        self._write_atomically(IDENTITY_FILE, record)
        self._is_identity_stored = True

    def _replay(self, path: Path, values: tuple[Any, ...]) -> tuple[HardState, MemoryLog]:
        self._hard_state = HardState()
        start = 0
        entries: list[LogEntry] = []
        for value in values:
            match value:
                case [str(kind), index] if kind == RECORD_START:
                    if not entries or entries[-1].index < index:
                        # The segments before this one were dropped, or come back after a crash.
                        start, entries = index, []
                    entries = [entry for entry in entries if entry.index <= index]
                case [str(kind), index] if kind == RECORD_RESET:
                    start, entries = index, []
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
        if any(item.index == snapshot.index and item.term != snapshot.term for item in entries):
            # The snapshot replaced a log with another history just before a crash.
            newer_entries = []
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
        hard_state = output.hard_state or self._hard_state
        if output.hard_state is not None:
            parts.append(_term_record(hard_state))
        if output.truncate_from is not None:
            parts.append(encode_record([RECORD_TRUNCATE, output.truncate_from]))
        parts.extend(_entry_record(entry) for entry in output.entries)
        data = b"".join(parts)
        file = self._opened_log()
        _write_fully(file, data)
        self._sync(file.fileno())
        self._hard_state = hard_state
        self._synced_length += len(data)
        self._appended_bytes += len(data)

    def _opened_log(self) -> FileIO:
        """Return the current segment, cut back to its synced length if a write has failed."""
        if self._log_file is None or self._needs_repair:
            if self._log_file is not None:
                self._log_file.close()
            self._log_file = FileIO(self._log_path, "ab")
            if self._log_file.tell() > self._synced_length:
                self._log_file.truncate(self._synced_length)
                self._sync(self._log_file.fileno())
            self._sync_folder()
            self._needs_repair = False
        return self._log_file

    def _install(self, snapshot: Snapshot, output: Output) -> None:
        """Replace snapshot and log by those that the leader sent."""
        self._write_snapshot(snapshot)
        self._hard_state = output.hard_state or self._hard_state
        self._replace_segment(RECORD_RESET, snapshot.index, output.entries)
        self._appended_bytes = 0
        for path in self._segment_paths()[:-1]:
            path.unlink()

    def _replace_segment(self, kind: str, index: int, entries: Iterable[LogEntry]) -> None:
        parts = [encode_record([kind, index]), _term_record(self._hard_state)]
        parts.extend(_entry_record(entry) for entry in entries)
        data = b"".join(parts)
        name = f"{LATER_SEGMENT_PREFIX}{index:016d}{LOG_SUFFIX}"
        self._write_file(name, data)
        # Whatever happens from here on, loading finds the new segment and takes the log from there.
        self._log_path, self._synced_length = self._folder / name, len(data)
        self._needs_repair = True
        self._opened_log()

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        members = [snapshot.members.voters, snapshot.members.learners]
        record = encode_record([snapshot.index, snapshot.term, members, snapshot.state])
        self._write_atomically(_snapshot_name(snapshot.index), record)
        self._snapshot_bytes = len(snapshot.state)

    def _snapshot_paths(self) -> list[Path]:
        return [path for path in self._folder.glob(f"{SNAPSHOT_PREFIX}*") if path.suffix == ".bin"]

    def _segment_paths(self) -> list[Path]:
        later = sorted(self._folder.glob(f"{LATER_SEGMENT_PREFIX}*{LOG_SUFFIX}"))
        first = self._folder / LOG_FILE
        return [first, *later] if first.exists() else later

    def _obsolete_paths(self) -> list[Path]:
        covered = self.covered_index
        obsolete = sorted(self._snapshot_paths())[:-SNAPSHOTS_KEPT]
        for path, following in itertools.pairwise(self._segment_paths()):
            if _index_in_name(following) <= covered:
                obsolete.append(path)
        return obsolete

    def _write_atomically(self, name: str, data: bytes) -> None:
        self._write_file(name, data)
        self._sync_folder()

    def _write_file(self, name: str, data: bytes) -> None:
        """Write and sync a file in pieces; it is durable once its folder is synced."""
        temporary = self._folder / f"{name}.tmp"
        try:
            with FileIO(temporary, "wb") as file:
                for start in range(0, len(data), SNAPSHOT_PIECE_BYTES):
                    _write_fully(file, data[start : start + SNAPSHOT_PIECE_BYTES])
                    self._sync(file.fileno())
            temporary.replace(self._folder / name)
        except OSError:
            # A full disk needs the room.
            temporary.unlink(missing_ok=True)
            raise

    def _sync_folder(self) -> None:
        sync_folder(self._folder, self._sync)


def sync_folder(folder: Path, sync: Callable[[int], None] = os.fsync) -> None:
    """Sync a folder, so that created, renamed and removed files in it survive a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        sync(descriptor)
    finally:
        os.close(descriptor)


def _write_fully(file: FileIO, data: bytes) -> None:
    left = memoryview(data)
    while left:
        left = left[file.write(left) :]


def _snapshot_name(index: int) -> str:
    return f"{SNAPSHOT_PREFIX}{index:016d}.bin"


def _index_in_name(path: Path) -> int:
    return int(path.stem.rpartition("-")[2])


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
