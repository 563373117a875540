"""Parts of an answer as records of fixed size, and the greatest of all parts."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the `count` greatest records of all parts, greatest first; equal ones all count.

    A remainder at the end of a part that is shorter than a record is none.

    >>> greatest_records([b"a" * 16 + b"c" * 16 + b"zz", b"b" * 16], 2) == b"c" * 16 + b"b" * 16
    True
    """
    records = (
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(heapq.nlargest(count, records))
