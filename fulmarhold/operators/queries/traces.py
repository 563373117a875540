"""Traces one request through the structured logs of the processes that handled it."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fulmarhold.errors import FulmarholdError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

# Present in every line, so not repeated among the fields of one.
COMMON_FIELDS = ("at", "process", "event", "request")


@dataclass(frozen=True)
class LogLine:
    """One log line; `at` is the wall-clock time of its process in milliseconds."""

    at: float
    process: str
    event: str
    fields: dict[str, Any]


def read_log_lines(files: Iterable[Path]) -> Iterator[str]:
    """Yield the lines of the files, or of standard input if there are none."""
    paths = tuple(files)
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise FulmarholdError(f"{path} can't be read: {error}", step="reading logs") from error


def trace_request(request: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines of a request, sorted by timestamp.

    Text before the JSON object of a line, such as a log collector's prefix, is ignored, and so are
    lines without a JSON object.

    >>> line = '{"at": 5, "process": "e1", "event": "retry", "request": "r1", "n": 2}'
    >>> trace_request("r1", [f"host-1 {line}", "no log line"])[0].fields
    {'n': 2}
    """
    found = [line for text in lines if request in text and (line := _decode(text, request))]
    return sorted(found, key=lambda line: line.at)


def format_trace(request: str, trace: list[LogLine]) -> str:
    """Return the trace as text, with times relative to the first line."""
    if not trace:
        return f"no line is about request {request}; whole answers are counted and not logged"
    first = trace[0].at
    lines = [f"request {request}, first seen at {trace[0].process}"]
    for line in trace:
        fields = ", ".join(f"{key} {value}" for key, value in line.fields.items())
        lines.append(f"  {line.at - first:+7.0f} ms  {line.process}  {line.event}: {fields}")
    return "\n".join(lines)


def _decode(text: str, request: str) -> LogLine | None:
    start = text.find("{")
    if start < 0:
        return None
    try:
        values = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(values, dict) or values.get("request") != request:
        return None
    fields = {key: value for key, value in values.items() if key not in COMMON_FIELDS}
    return LogLine(
        float(values.get("at", 0)), str(values.get("process")), str(values.get("event")), fields
    )
