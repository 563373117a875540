"""Merges the parts of an answer, each a sequence of fixed-size records."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the `count` greatest records of all parts in descending order, with duplicates.

    Trailing bytes of a part that are shorter than a record are ignored.

    >>> greatest_records([b"a" * 16 + b"c" * 16 + b"zz", b"b" * 16], 2) == b"c" * 16 + b"b" * 16
    True
    """
    records = (
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(count, records))
