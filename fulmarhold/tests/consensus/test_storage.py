"""The files of one member with truncated, flipped and missing bytes, and with failing syncs."""

from __future__ import annotations

import errno
import os
import shutil

import pytest

from fulmarhold.consensus import records
from fulmarhold.consensus import storage as storage_module
from fulmarhold.consensus.messages import KIND_COMMAND, LogEntry, Members, Snapshot
from fulmarhold.consensus.output import HardState, Output
from fulmarhold.consensus.records import HEADER, CorruptFile, decode_records, encode_record
from fulmarhold.consensus.storage import (
    EMPTY_SNAPSHOT,
    IDENTITY_FILE,
    LOG_FILE,
    MIN_LOG_BYTES_TO_COMPACT,
    Storage,
    StorageFailed,
)
from fulmarhold.errors import FulmarholdError

MEMBERS = Members({"me": "127.0.0.1:1"}, {})


def entry(index, data=b"command"):
    return LogEntry(index, 1, KIND_COMMAND, data)


def write_log(folder, count):
    storage = Storage(folder)
    _, memory = storage.load()
    for index in range(1, count + 1):
        memory.append(entry(index))
        storage.write(Output(hard_state=HardState(1, "me"), entries=[entry(index)]))
    storage.close()
    return folder / LOG_FILE


def load(folder):
    storage = Storage(folder)
    try:
        return storage.load()
    finally:
        storage.close()


def compact(storage, snapshot, memory):
    """Save a snapshot and drop what it covers, as a node does."""
    storage.start_segment(snapshot.index, memory.slice(snapshot.index + 1, memory.last_index))
    storage.save_snapshot(snapshot)
    storage.drop_covered()
    memory.compact(snapshot, max(memory.first_index - 1, storage.covered_index))


def record_ends(data):
    """Return the end offset of each record."""
    ends, offset = [], 0
    while offset < len(data):
        offset += HEADER.size + HEADER.unpack_from(data, offset)[1]
        ends.append(offset)
    return ends


def test_written_entries_are_loaded(tmp_path):
    write_log(tmp_path, 5)
    hard_state, memory = load(tmp_path)
    assert hard_state == HardState(1, "me")
    assert memory.slice(1, 5) == tuple(entry(index) for index in range(1, 6))


def test_a_record_truncated_at_any_byte_is_dropped_and_only_that_one(tmp_path):
    path = write_log(tmp_path, 3)
    data = path.read_bytes()
    start = record_ends(data)[-2]
    for length in range(start, len(data)):
        path.write_bytes(data[:length])
        storage = Storage(tmp_path)
        _, memory = storage.load()
        assert memory.last_index == 2
        storage.write(Output(hard_state=HardState(2), entries=[entry(3)]))
        storage.close()
        assert path.read_bytes()[:start] == data[:start]
        assert [value[0] for value in decode_records(path, path.read_bytes()[start:]).values] == [
            "term",
            "entry",
        ]


@pytest.mark.parametrize("zeros", [1, 16, 100])
def test_zeros_after_the_last_record_are_dropped(tmp_path, zeros):
    path = write_log(tmp_path, 3)
    with path.open("ab") as file:
        file.write(bytes(zeros))
    _, memory = load(tmp_path)
    assert memory.last_index == 3


def test_a_flipped_byte_anywhere_raises_an_error_with_file_and_offset(tmp_path):
    path = write_log(tmp_path, 3)
    data = path.read_bytes()
    ends = record_ends(data)
    for position in range(len(data)):
        flipped = bytearray(data)
        flipped[position] ^= 0x40
        path.write_bytes(bytes(flipped))
        with pytest.raises(CorruptFile) as caught:
            load(tmp_path)
        expected = max((end for end in ends if end <= position), default=0)
        assert (caught.value.path, caught.value.offset) == (path, expected)


def test_a_full_disk_at_sync_raises_an_error(tmp_path):
    def full(_):
        raise OSError(errno.ENOSPC, "No space left on device")

    write_log(tmp_path, 2)
    storage = Storage(tmp_path)
    storage.load()
    storage._sync = full
    with pytest.raises(StorageFailed, match="No space left"):
        storage.write(Output(entries=[entry(3)]))
    storage.close()


def make_snapshots(folder):
    """Write snapshots at 2 and 4, and a log that starts after 2 and ends at 6."""
    storage = Storage(folder)
    _, memory = storage.load()
    for index in range(1, 7):
        memory.append(entry(index))
        storage.write(Output(entries=[entry(index)]))
        if index in (2, 4):
            compact(storage, Snapshot(index, 1, MEMBERS, b"state %d" % index), memory)
    storage.close()
    return sorted(folder.glob("snapshot-*.bin"))


def test_the_newest_snapshot_is_loaded_with_the_entries_after_it(tmp_path):
    assert len(make_snapshots(tmp_path)) == 2
    _, memory = load(tmp_path)
    assert (memory.snapshot.index, memory.snapshot.state) == (4, b"state 4")
    assert memory.last_index == 6


@pytest.mark.parametrize("damage", ["missing", "flipped"])
def test_without_the_newest_snapshot_the_older_one_and_the_log_are_loaded(tmp_path, damage):
    newest = make_snapshots(tmp_path)[-1]
    if damage == "missing":
        newest.unlink()
    else:
        data = bytearray(newest.read_bytes())
        data[-1] ^= 1
        newest.write_bytes(bytes(data))
    _, memory = load(tmp_path)
    assert memory.snapshot.state == b"state 2"
    assert memory.last_index == 6


def test_without_any_snapshot_the_error_names_the_missing_one(tmp_path):
    for path in make_snapshots(tmp_path):
        path.unlink()
    with pytest.raises(CorruptFile, match=r"snapshot-0000000000000002\.bin"):
        load(tmp_path)


def test_an_installed_snapshot_replaces_the_log(tmp_path):
    write_log(tmp_path, 3)
    storage = Storage(tmp_path)
    storage.load()
    snapshot = Snapshot(40, 7, MEMBERS, b"far ahead")
    storage.write(Output(installed_snapshot=snapshot, hard_state=HardState(7)))
    storage.close()
    hard_state, memory = load(tmp_path)
    assert (hard_state.term, memory.last_index, memory.snapshot.state) == (7, 40, b"far ahead")


def test_a_folder_without_an_identity_makes_a_new_member(tmp_path):
    first = Storage(tmp_path)
    first.close()
    again = Storage(tmp_path)
    again.close()
    assert again.identity == first.identity
    (tmp_path / IDENTITY_FILE).unlink()
    replaced = Storage(tmp_path)
    replaced.close()
    assert replaced.identity.member != first.identity.member


def test_a_log_without_its_identity_is_an_error(tmp_path):
    write_log(tmp_path, 1)
    (tmp_path / IDENTITY_FILE).unlink()
    with pytest.raises(CorruptFile, match="identity is missing"):
        Storage(tmp_path)


def test_a_locked_folder_is_rejected(tmp_path):
    first = Storage(tmp_path)
    with pytest.raises(FulmarholdError, match="in use"):
        Storage(tmp_path)
    first.close()


def test_a_gap_in_the_log_is_an_error(tmp_path):
    path = write_log(tmp_path, 1)
    with path.open("ab") as file:
        file.write(encode_record(["entry", 3, 1, KIND_COMMAND, b""]))
    with pytest.raises(CorruptFile, match="entry 2 is missing"):
        load(tmp_path)


def test_an_empty_folder_loads_an_empty_log(tmp_path):
    hard_state, memory = load(tmp_path)
    assert (hard_state, memory.snapshot, memory.last_index) == (HardState(), EMPTY_SNAPSHOT, 0)


def append_until_due(storage, memory, size=MIN_LOG_BYTES_TO_COMPACT // 8):
    """Append commands until a compaction is due; returns how many were needed."""
    data = bytes(size)
    for count in range(1, 200):
        memory.append(entry(memory.last_index + 1, data))
        storage.write(Output(entries=[memory.slice(memory.last_index, memory.last_index)[0]]))
        if storage.is_compaction_due:
            return count
    raise AssertionError("no compaction became due")


def test_a_compaction_is_due_again_once_as_much_was_appended(tmp_path):
    storage = Storage(tmp_path)
    _, memory = storage.load()
    counts = []
    for _ in range(4):
        counts.append(append_until_due(storage, memory))
        compact(storage, Snapshot(memory.last_index, 1, MEMBERS, b"state"), memory)
        assert not storage.is_compaction_due
    assert len(set(counts)) == 1
    append_until_due(storage, memory)
    storage.close()
    storage = Storage(tmp_path)
    storage.load()
    assert storage.is_compaction_due, "records appended before a restart must count"
    storage.close()


class FailingDisk:
    """Fails chosen syncs, and can fail writes after half of their bytes."""

    def __init__(self, fails_at=(), error=errno.ENOSPC):
        self.fails_at = set(fails_at)
        self.error = error
        self.syncs = 0

    def sync(self, _):
        self.syncs += 1
        if self.syncs in self.fails_at:
            raise OSError(self.error, os.strerror(self.error))


def steps(storage, memory):
    """Return the operations of a member's life, each with the last index and state after it."""

    def write(first, last):
        entries = [entry(index) for index in range(first, last + 1)]
        for item in entries:
            memory.append(item)
        return lambda: storage.write(Output(hard_state=HardState(last), entries=entries))

    def snapshot(index):
        saved = Snapshot(index, 1, MEMBERS, b"state %d" % index)
        later = memory.slice(index + 1, memory.last_index)
        return [
            (lambda: storage.start_segment(index, later), memory.last_index),
            (lambda: storage.save_snapshot(saved), memory.last_index),
            (storage.drop_covered, memory.last_index),
        ]

    yield write(1, 3), 3
    yield from snapshot(2)
    yield write(4, 5), 5
    yield from snapshot(4)
    yield write(6, 6), 6
    yield from snapshot(6)
    yield write(7, 8), 8


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EFBIG])
@pytest.mark.parametrize("fails_at", range(1, 40))
def test_a_failed_sync_at_any_point_loses_nothing_and_can_be_repeated(tmp_path, fails_at, error):
    disk = FailingDisk([fails_at, fails_at + 1], error)
    storage = Storage(tmp_path / "data", disk.sync)
    _, memory = storage.load()
    stored = 0
    for operation, last in steps(storage, memory):
        for _ in range(4):
            try:
                operation()
            except StorageFailed:
                copy = tmp_path / f"copy-{disk.syncs}"
                shutil.copytree(tmp_path / "data", copy)
                assert load(copy)[1].last_index >= stored, "what was stored survives a crash"
            else:
                break
        else:
            raise AssertionError("the operation never succeeds")
        stored = last
    identity = storage.identity
    storage.close()
    again = Storage(tmp_path / "data")
    assert again.identity == identity
    hard_state, memory = again.load()
    again.close()
    assert (hard_state.term, memory.last_index, memory.snapshot.state) == (8, 8, b"state 6")


def test_a_snapshot_that_is_too_large_fails_without_an_unexpected_error(tmp_path, monkeypatch):
    # Guards against ending the member, again after each start, as it can't save its state.
    monkeypatch.setattr(records, "MAX_RECORD_BYTES", 1_000)
    storage = Storage(tmp_path)
    storage.load()
    with pytest.raises(StorageFailed, match="exceeds the limit"):
        storage.save_snapshot(Snapshot(1, 1, MEMBERS, bytes(2_000)))
    storage.close()


def test_old_files_that_can_not_be_listed_fail_without_an_unexpected_error(tmp_path, monkeypatch):
    def fail(_):
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

    storage = Storage(tmp_path)
    monkeypatch.setattr(Storage, "_segment_paths", fail)
    with pytest.raises(StorageFailed, match="can't remove old files"):
        storage.drop_covered()
    storage.close()


def test_a_write_that_failed_halfway_leaves_no_trace(tmp_path, monkeypatch):
    write_log(tmp_path, 2)
    storage = Storage(tmp_path)
    storage.load()
    write_fully = storage_module._write_fully

    def half(file, data):
        write_fully(file, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(storage_module, "_write_fully", half)
    with pytest.raises(StorageFailed):
        storage.write(Output(entries=[entry(3, b"lost")]))
    monkeypatch.setattr(storage_module, "_write_fully", write_fully)
    storage.write(Output(entries=[entry(3, b"kept")]))
    storage.close()
    assert load(tmp_path)[1].slice(3, 3) == (entry(3, b"kept"),)


def test_a_member_starts_on_a_full_disk_and_stores_its_identity_with_its_first_write(tmp_path):
    disk = FailingDisk(range(1, 5))
    storage = Storage(tmp_path, disk.sync)
    identity = storage.identity
    storage.load()
    with pytest.raises(StorageFailed):
        storage.write(Output(entries=[entry(1)]))
    disk.fails_at.clear()
    storage.write(Output(entries=[entry(1)]))
    storage.close()
    again = Storage(tmp_path)
    assert (again.identity, again.load()[1].last_index) == (identity, 1)
    again.close()


def test_segments_that_come_back_after_a_crash_change_nothing(tmp_path):
    make_snapshots(tmp_path)
    older = {path: path.read_bytes() for path in tmp_path.glob("*.bin")}
    storage = Storage(tmp_path)
    _, memory = storage.load()
    memory.append(entry(7))
    storage.write(Output(entries=[entry(7)]))
    compact(storage, Snapshot(6, 1, MEMBERS, b"state 6"), memory)
    compact(storage, Snapshot(7, 1, MEMBERS, b"state 7"), memory)
    storage.close()
    for path, data in older.items():
        if not path.exists():
            path.write_bytes(data)
    _, memory = load(tmp_path)
    assert (memory.last_index, memory.snapshot.state) == (7, b"state 7")


def test_the_log_of_another_history_is_dropped_with_the_snapshot_that_replaces_it(tmp_path):
    write_log(tmp_path, 6)
    storage = Storage(tmp_path)
    storage.load()
    # A crash follows before the new segment is written.
    storage.save_snapshot(Snapshot(4, 9, MEMBERS, b"of the leader"))
    storage.close()
    _, memory = load(tmp_path)
    assert (memory.last_index, memory.last_term) == (4, 9)


def test_members_save_their_snapshots_at_different_entries(tmp_path):
    counts = set()
    for number in range(5):
        folder = tmp_path / str(number)
        folder.mkdir()
        (folder / IDENTITY_FILE).write_bytes(encode_record([f"member-{number}", "c"]))
        storage = Storage(tmp_path / str(number))
        _, memory = storage.load()
        counts.add(append_until_due(storage, memory, MIN_LOG_BYTES_TO_COMPACT // 64))
        storage.close()
    assert len(counts) >= 4
