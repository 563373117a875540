"""Detects control instances whose set of serving upstreams persistently differs from this one's.

Statements are passed on once, and again to peers that could not be reached. An instance that is
lost for good loses the statements that it had yet to resend; two others may then hold different
statements, and no later message corrects that.
"""

from __future__ import annotations

# Consecutive mismatches before the statements are compared: a statement in transit makes one report
# differ, but rarely two.
MISMATCHES_BEFORE_SYNC = 2


class DigestMismatches:
    """Counts, for each peer, the consecutive reports whose digest differs from this instance's.

    >>> mismatches = DigestMismatches()
    >>> [mismatches.record_report("peer", digest, "own") for digest in ("x", "own", "x", "y")]
    [False, False, False, True]
    """

    def __init__(self) -> None:
        self._consecutive: dict[str, int] = {}

    def record_report(self, peer: str, digest: str, own: str) -> bool:
        """Record the digest of a report; returns whether to ask the peer for its statements."""
        if not digest or digest == own:
            self._consecutive.pop(peer, None)
            return False
        count = self._consecutive.get(peer, 0) + 1
        is_persistent = count >= MISMATCHES_BEFORE_SYNC
        self._consecutive[peer] = 0 if is_persistent else count
        return is_persistent
