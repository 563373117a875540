"""The file of cached upstream statements survives restarts, and damage to it is detected."""

from __future__ import annotations

from dataclasses import astuple, replace
from typing import TYPE_CHECKING

import gevent
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fulmarhold.consensus.records import encode_record
from fulmarhold.control import statement_file
from fulmarhold.control.statement_file import FILE_NAME, StatementFile
from fulmarhold.membership.statements import READY, UpstreamStatement
from fulmarhold.observe.counters import Counters

if TYPE_CHECKING:
    from pathlib import Path

STATEMENTS = [
    UpstreamStatement(f"u{n}", 100 + n, n, READY, "parts", f"10.0.0.{n}:80", "a", 2) for n in (1, 2)
]

# The examples share one folder intentionally: each of them overwrites the same file.
ONE_FOLDER = [HealthCheck.function_scoped_fixture]


def save(folder: Path) -> StatementFile:
    file = StatementFile(folder, Counters())
    file.save(STATEMENTS)
    with gevent.Timeout(5):
        while not (folder / FILE_NAME).exists():
            gevent.sleep(0.002)
    return file


def test_saved_statements_are_loaded_again(tmp_path):
    save(tmp_path)
    assert StatementFile(tmp_path, Counters()).load() == STATEMENTS


def test_a_missing_file_is_not_counted_as_a_failure(tmp_path):
    counters = Counters()
    assert StatementFile(tmp_path, counters).load() == []
    assert counters.value("statement_file_failures", step="loading") == 0


def await_saved(file, folder, statements):
    with gevent.Timeout(5, AssertionError("the statements are never saved")):
        while StatementFile(folder, Counters()).load() != statements:
            gevent.sleep(0.01)


def test_statements_are_saved_once_a_full_disk_has_room_again(tmp_path, monkeypatch):
    # Guards against an outdated file until the next change, which may be long after.
    monkeypatch.setattr(statement_file, "SAVE_RETRY_PERIOD", 50.0)
    counters = Counters()
    file = StatementFile(tmp_path, counters)
    temporary = (tmp_path / FILE_NAME).with_suffix(".tmp")
    # A folder in the place of the temporary file makes each attempt fail.
    temporary.mkdir()
    file.save(STATEMENTS)
    with gevent.Timeout(5):
        while counters.value("statement_file_failures", step="saving") < 2:
            gevent.sleep(0.01)
    temporary.rmdir()
    await_saved(file, tmp_path, STATEMENTS)


def test_the_newest_statements_are_saved_last_however_long_earlier_saves_take(tmp_path):
    # Guards against two saves that write the same temporary file at once.
    file = StatementFile(tmp_path, Counters())
    many = [replace(STATEMENTS[0], name=f"u{n}") for n in range(3_000)]
    for count in (3_000, 2_000, 1_000, 2):
        file.save(many[:count])
        gevent.sleep(0)
    await_saved(file, tmp_path, many[:2])
    gevent.sleep(0.3)
    assert StatementFile(tmp_path, Counters()).load() == many[:2]


@settings(max_examples=300, deadline=None, suppress_health_check=ONE_FOLDER)
@given(data=st.data())
def test_a_damaged_file_loads_as_empty_or_unchanged(tmp_path, data):
    path = tmp_path / FILE_NAME
    if not path.exists():
        save(tmp_path)
        (tmp_path / "whole").write_bytes(path.read_bytes())
    whole = (tmp_path / "whole").read_bytes()
    at = data.draw(st.integers(0, len(whole) - 1))
    if data.draw(st.booleans()):
        path.write_bytes(whole[:at])
    else:
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 0x5A]) + whole[at + 1 :])
    assert StatementFile(tmp_path, Counters()).load() in ([], STATEMENTS)


def write(folder: Path, *records: object) -> None:
    (folder / FILE_NAME).write_bytes(b"".join(encode_record(item) for item in records))


# Guards against control that ends at each start because of one statement in its file.
@pytest.mark.parametrize(
    "odd",
    [
        [],
        ["u3"],
        ["u3", "born", 1, "ready", "parts", "10.0.0.3:80", "a", 2, 0.0],
        ["u3", 1, 1, "resting", "parts", "10.0.0.3:80", "a", 2, 0.0],
        ["u3", 1, 1, "ready", "parts", "10.0.0.3:80", "a", 2, 0.0, "more"],
        [["u3"], 1, 1, "ready", "parts", "10.0.0.3:80", "a", 2, 0.0],
        [{}, 1, 1, "ready", "parts", "10.0.0.3:80", "a", 2, 0.0],
        [b"u3", 1, 1, "ready", "parts", "10.0.0.3:80", "a", 2, 0.0],
        ["u3", 1, 1, "ready", "parts", "10.0.0.3:80", "a", 2, None],
        None,
        7,
        "u3",
        {"name": "u3"},
    ],
    ids=ascii,
)
def test_a_statement_that_cannot_be_read_is_skipped_and_the_others_are_loaded(tmp_path, odd):
    first, second = (list(astuple(item)) for item in STATEMENTS)
    write(tmp_path, [first, odd, second])
    counters = Counters()
    assert StatementFile(tmp_path, counters).load() == STATEMENTS
    assert counters.value("statements_skipped", subject="upstream") == 1


@pytest.mark.parametrize(
    "payload",
    [
        b"\xc1",
        b"\xa1\xff",
        b"\x91" * 2_000 + b"\xc0",
        b"\xdd\xff\xff\xff\xff",
        b"\xc0\xc0",
        b"\x07",
    ],
    ids=lambda data: data[:6].hex(),
)
def test_a_record_that_cannot_be_read_loads_as_empty(tmp_path, monkeypatch, payload):
    monkeypatch.setattr("fulmarhold.consensus.records.msgpack.packb", lambda _: payload)
    write(tmp_path, None)
    monkeypatch.undo()
    counters = Counters()
    assert StatementFile(tmp_path, counters).load() == []
    assert counters.value("statement_file_failures", step="loading") == 1


# Guards against control that ends when it saves what can't be encoded.
@pytest.mark.parametrize("changes", [{"born": 2**64}, {"service": "\ud800"}], ids=ascii)
def test_statements_that_cannot_be_encoded_leave_the_file_as_it_is(tmp_path, changes):
    file = save(tmp_path)
    file.save([replace(STATEMENTS[0], **changes)])
    gevent.sleep(0.05)
    assert StatementFile(tmp_path, Counters()).load() == STATEMENTS
