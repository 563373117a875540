"""Which control instances keep naming other upstreams than this one does.

Statements are passed on as they come, and owed to an instance that could not be told. An instance
that is lost for good takes what it owed with it; then two others may know different things, and
nothing that either of them is told later puts that right.
"""

from __future__ import annotations

# Reports in a row that differ: a statement on its way makes one of them differ, seldom two.
REPORTS_BEFORE_ASKING = 2


class LastingDifferences:
    """Counts, for each peer, the reports in a row whose digest is not the own one.

    >>> differences = LastingDifferences()
    >>> [differences.is_lasting("peer", digest, "own") for digest in ("x", "own", "x", "y")]
    [False, False, False, True]
    """

    def __init__(self) -> None:
        self._in_a_row: dict[str, int] = {}

    def is_lasting(self, peer: str, digest: str, own: str) -> bool:
        """Take in a report; returns whether the peer should be asked what it knows."""
        if not digest or digest == own:
            self._in_a_row.pop(peer, None)
            return False
        count = self._in_a_row.get(peer, 0) + 1
        is_lasting = count >= REPORTS_BEFORE_ASKING
        self._in_a_row[peer] = 0 if is_lasting else count
        return is_lasting
