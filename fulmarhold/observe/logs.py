"""Logging set-up: short messages with a fixed prefix for each component."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from fulmarhold.observe.events import EventLog

LINE_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} "
    "{record.channel}: {record.message}"
)
LEVELS = ("debug", "info", "warning", "error")


def get_logger(part: str) -> logbook.Logger:
    """Return the logger of a component; `part` becomes the prefix of its lines."""
    return logbook.Logger(part)


def start_logging(level: str) -> None:
    """Write all log records of the process of `level` and above to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper(), format_string=LINE_FORMAT)
    handler.push_application()


def log_to_events(events: EventLog, level: str = "info") -> None:
    """Write all log records of the process of `level` and above to its structured log."""
    _EventHandler(events, level.upper()).push_application()


class _EventHandler(logbook.Handler):
    def __init__(self, events: EventLog, level: str) -> None:
        super().__init__(level=level)
        self._events = events

    def emit(self, record: logbook.LogRecord) -> None:
        fields = {"part": record.channel, "message": record.message}
        if record.formatted_exception:
            fields["exception"] = record.formatted_exception
        self._events.record(record.level_name.lower(), **fields)
