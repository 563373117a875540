"""Formats the state of the fleet as text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def format_status(status: dict[str, Any]) -> str:
    """Return the control leader's status document as text."""
    lines = [
        f"revision {status['revision']} accepted by {status['accepted_by'] or 'nobody yet'}, "
        f"version {status['version']}",
        f"leader {status['leader']} in term {status['term']}, "
        f"{len(status['voters'])} voters, {len(status['learners'])} learners",
        "",
    ]
    rows = [
        (
            entry["name"],
            entry["data_centre"],
            entry["caller_endpoint"],
            entry["state"],
            "-" if entry["version"] is None else str(entry["version"]),
            "-" if entry["heard_ms_ago"] is None else f"{entry['heard_ms_ago']} ms",
        )
        for entry in status["entries"]
    ]
    header = ("entry", "data centre", "callers", "state", "version", "heard")
    return "\n".join([*lines, format_table(header, rows)])


def format_table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table with a header and aligned columns.

    >>> print(format_table(("name", "count"), [("a", "1")]))
    name  count
    a     1
    """
    table = [header, *rows]
    widths = [max(len(row[column]) for row in table) for column in range(len(header))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in table
    )
