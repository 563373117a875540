"""The files of one member with truncated, flipped and missing bytes, and with failing syncs."""

from __future__ import annotations

import errno

import pytest

from fulmarhold.consensus.memory import MemoryLog
from fulmarhold.consensus.messages import KIND_COMMAND, LogEntry, Members, Snapshot
from fulmarhold.consensus.output import HardState, Output
from fulmarhold.consensus.records import HEADER, CorruptFile, encode_record
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
        storage.write(Output(hard_state=HardState(1, "me"), entries=[entry(index)]), memory)
    storage.close()
    return folder / LOG_FILE


def load(folder):
    storage = Storage(folder)
    try:
        return storage.load()
    finally:
        storage.close()


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
        _, memory = load(tmp_path)
        assert memory.last_index == 2
        assert path.stat().st_size == start


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
    _, memory = storage.load()
    storage._sync = full
    with pytest.raises(StorageFailed, match="No space left"):
        storage.write(Output(entries=[entry(3)]), memory)
    storage.close()


def make_snapshots(folder):
    """Write snapshots at 2 and 4, and a log that starts after 2 and ends at 6."""
    storage = Storage(folder)
    _, memory = storage.load()
    for index in range(1, 7):
        memory.append(entry(index))
        storage.write(Output(entries=[entry(index)]), memory)
        if index in (2, 4):
            storage.compact(Snapshot(index, 1, MEMBERS, b"state %d" % index), memory)
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
    storage.write(Output(installed_snapshot=snapshot, hard_state=HardState(7)), MemoryLog(snapshot))
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


def append_until_due(storage, memory):
    """Append commands until a compaction is due; returns how many were needed."""
    data = bytes(MIN_LOG_BYTES_TO_COMPACT // 8)
    for count in range(1, 20):
        memory.append(entry(memory.last_index + 1, data))
        storage.write(
            Output(entries=[memory.slice(memory.last_index, memory.last_index)[0]]), memory
        )
        if storage.is_compaction_due:
            return count
    raise AssertionError("no compaction became due")


def test_a_compaction_is_due_again_once_as_much_was_appended(tmp_path):
    storage = Storage(tmp_path)
    _, memory = storage.load()
    counts = []
    for _ in range(4):
        counts.append(append_until_due(storage, memory))
        storage.compact(Snapshot(memory.last_index, 1, MEMBERS, b"state"), memory)
        assert not storage.is_compaction_due
    assert len(set(counts)) == 1
    append_until_due(storage, memory)
    storage.close()
    storage = Storage(tmp_path)
    storage.load()
    assert storage.is_compaction_due, "records appended before a restart must count"
    storage.close()
