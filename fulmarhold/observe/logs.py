"""Log set-up: short sentences on standard error, with a fixed prefix for each part."""

from __future__ import annotations

import sys

import logbook

LINE_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name:<7} "
    "{record.channel}: {record.message}"
)
LEVELS = ("debug", "info", "warning", "error")


def part_log(part: str) -> logbook.Logger:
    """Return the logger of one part; `part` becomes the prefix of its lines."""
    return logbook.Logger(part)


def start_logging(level: str) -> None:
    """Send log lines of `level` and above to standard error for the whole process."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper(), format_string=LINE_FORMAT)
    handler.push_application()
