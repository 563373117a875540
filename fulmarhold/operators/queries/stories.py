"""The story of one request, from the structured logs of the processes that touched it."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fulmarhold.errors import FulmarholdError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from pathlib import Path

# What stands in every line, and so needs no mention among a line's inputs.
COMMON_FIELDS = ("at", "process", "event", "request")


@dataclass(frozen=True)
class LogLine:
    """One line; `at` is the wall clock of its process in milliseconds."""

    at: float
    process: str
    event: str
    fields: dict[str, Any]


def read_log_lines(files: Iterable[Path]) -> Iterator[str]:
    """Yield the lines of files, or of standard input where none is named."""
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
    """Return the lines about a request in the order of their clocks.

    What precedes the JSON object of a line, such as a collector's prefix, is passed over, and so
    are lines that hold none.

    >>> line = '{"at": 5, "process": "e1", "event": "retry", "request": "r1", "n": 2}'
    >>> trace_request("r1", [f"host-1 {line}", "no log line"])[0].fields
    {'n': 2}
    """
    found = [line for text in lines if request in text and (line := _decode(text, request))]
    return sorted(found, key=lambda line: line.at)


def format_story(request: str, story: list[LogLine]) -> str:
    """Return the story for a reader, each line's time counted from the first."""
    if not story:
        return f"no line is about request {request}; whole answers are counted and not logged"
    first = story[0].at
    lines = [f"request {request}, first seen at {story[0].process}"]
    for line in story:
        inputs = ", ".join(f"{key} {value}" for key, value in line.fields.items())
        lines.append(f"  {line.at - first:+7.0f} ms  {line.process}  {line.event}: {inputs}")
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
