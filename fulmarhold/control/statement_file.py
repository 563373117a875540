"""Caches upstream statements in a file, so that control restarts without waiting for heartbeats.

The file may be outdated, truncated or missing, and an earlier release may have written it.
Statements read from it are superseded by newer ones like any statement that arrives late. The file
is synced, so that it survives power losses.
"""

from __future__ import annotations

import dataclasses
import os
from dataclasses import astuple
from typing import TYPE_CHECKING, Any

import gevent
import msgspec
from msgpack import UnpackException

from fulmarhold.clock import SECOND
from fulmarhold.consensus.records import CorruptFile, decode_records, encode_record
from fulmarhold.consensus.storage import sync_folder
from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.statements import UpstreamStatement
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from pathlib import Path

    from fulmarhold.clock import Milliseconds
    from fulmarhold.observe.counters import Counters

log = get_logger("statements")

FILE_NAME = "upstreams.bin"
# The file matters only after a restart, so it may be outdated for this long after a full disk.
SAVE_RETRY_PERIOD: Milliseconds = 1_000.0
FIELD_NAMES = tuple(item.name for item in dataclasses.fields(UpstreamStatement))


class StatementFile:
    """The file of cached statements in the data folder of a control instance."""

    def __init__(self, folder: Path, counters: Counters) -> None:
        self._path = folder / FILE_NAME
        self._counters = counters
        self._unsaved: bytes | None = None
        self._saver: gevent.Greenlet | None = None

    def load(self) -> list[UpstreamStatement]:
        """Return the cached statements; none if the file is missing or corrupt."""
        try:
            records = decode_records(self._path, self._path.read_bytes())
            entries = [fields for value in records.values for fields in value]
        except FileNotFoundError:
            return []
        except (OSError, CorruptFile, TypeError, ValueError, UnpackException) as error:
            self._counters.add("statement_file_failures", step="loading")
            log.warning("starting without cached statements: {!s:.300}", error)
            return []
        statements = []
        for fields in entries:
            try:
                statements.append(_to_statement(fields))
            except (TypeError, ValueError) as error:
                self._counters.add("statements_skipped", subject="upstream")
                log.warning("skipped a cached statement: {!s:.300}", error)
        return statements

    def save(self, statements: list[UpstreamStatement]) -> None:
        """Replace the file in a thread, since a faulty disk may block the write.

        One save runs at a time. A save that fails is repeated, or replaced by the next one.
        """
        try:
            self._unsaved = encode_record([astuple(statement) for statement in statements])
        except (FulmarholdError, ValueError, OverflowError) as error:
            self._counters.add("statement_file_failures", step="encoding")
            log.error("could not encode the statements: {!s:.300}", error)
            return
        if self._saver is None or self._saver.dead:
            self._saver = gevent.spawn(self._save)

    def _save(self) -> None:
        is_failing = False
        while self._unsaved is not None:
            data, self._unsaved = self._unsaved, None
            error = gevent.get_hub().threadpool.apply(self._write, (data,))
            if error is None:
                if is_failing:
                    log.info("saving statements again")
                is_failing = False
                continue
            self._counters.add("statement_file_failures", step="saving")
            if not is_failing:
                log.warning("can't save statements, trying again until it succeeds: {}", error)
            is_failing = True
            if self._unsaved is None:
                self._unsaved = data
            gevent.sleep(SAVE_RETRY_PERIOD / SECOND)

    def _write(self, data: bytes) -> OSError | None:
        """Write and sync the file; returns the error if that fails."""
        temporary = self._path.with_suffix(".tmp")
        try:
            with temporary.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._path)
            sync_folder(self._path.parent)
        except OSError as error:
            return error
        return None


def _to_statement(fields: Any) -> UpstreamStatement:
    """Return the statement for its fields; raises `TypeError` or `ValueError` if invalid."""
    values = dict(zip(FIELD_NAMES[: len(fields)], fields, strict=True))
    return msgspec.convert(values, UpstreamStatement)
