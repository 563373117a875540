"""Caches upstream statements in a file, so that control restarts without waiting for heartbeats.

The file may be outdated, truncated or missing. Statements read from it are superseded by newer ones
like any statement that arrives late. The file is synced, so that it survives power losses.
"""

from __future__ import annotations

import os
from dataclasses import astuple
from typing import TYPE_CHECKING

import gevent

from fulmarhold.consensus.records import CorruptFile, decode_records, encode_record
from fulmarhold.consensus.storage import sync_folder
from fulmarhold.membership.statements import UpstreamStatement
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from pathlib import Path

    from fulmarhold.observe.counters import Counters

log = get_logger("statements")

FILE_NAME = "upstreams.bin"


class StatementFile:
    """The file of cached statements in the data folder of a control instance."""

    def __init__(self, folder: Path, counters: Counters) -> None:
        self._path = folder / FILE_NAME
        self._counters = counters

    def load(self) -> list[UpstreamStatement]:
        """Return the cached statements; none if the file is missing or corrupt."""
        try:
            records = decode_records(self._path, self._path.read_bytes())
            return [UpstreamStatement(*fields) for value in records.values for fields in value]
        except FileNotFoundError:
            return []
        except (OSError, CorruptFile, TypeError) as error:
            self._counters.add("statement_file_failures", step="loading")
            log.warning("starting without cached statements: {}", error)
            return []

    def save(self, statements: list[UpstreamStatement]) -> None:
        """Replace the file in a thread, since a faulty disk may block the write."""
        data = encode_record([astuple(statement) for statement in statements])
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
