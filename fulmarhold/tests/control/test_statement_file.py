"""The file of cached upstream statements survives restarts, and damage to it is detected."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import gevent
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

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
