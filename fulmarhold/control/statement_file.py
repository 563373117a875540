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

from fulmarhold.consensus.records import CorruptFile, decode_records, encode_record
from fulmarhold.consensus.storage import sync_folder
from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.statements import UpstreamStatement
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from pathlib import Path

    from fulmarhold.observe.counters import Counters

log = get_logger("statements")

FILE_NAME = "upstreams.bin"
FIELD_NAMES = tuple(item.name for item in dataclasses.fields(UpstreamStatement))


class StatementFile:
    """The file of cached statements in the data folder of a control instance."""

    def __init__(self, folder: Path, counters: Counters) -> None:
        self._path = folder / FILE_NAME
        self._counters = counters

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
        """Replace the file in a thread, since a faulty disk may block the write."""
        try:
            data = encode_record([astuple(statement) for statement in statements])
        except (FulmarholdError, ValueError, OverflowError) as error:
            self._counters.add("statement_file_failures", step="encoding")
            log.error("could not encode the statements: {!s:.300}", error)
            return
        gevent.get_hub().threadpool.apply_async(self._write, (data,))

    def _write(self, data: bytes) -> None:
        temporary = self._path.with_suffix(".tmp")
        try:
            with temporary.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._path)
            sync_folder(self._path.parent)
        except OSError:
            self._counters.add("statement_file_failures", step="saving")


def _to_statement(fields: Any) -> UpstreamStatement:
    """Return the statement for its fields; raises `TypeError` or `ValueError` if invalid."""
    values = dict(zip(FIELD_NAMES[: len(fields)], fields, strict=True))
    return msgspec.convert(values, UpstreamStatement)
