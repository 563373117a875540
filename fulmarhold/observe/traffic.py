"""Counts the bytes exchanged with peers, by purpose and by data centre.

Traffic between data centres is expensive, and most of it is avoidable: this tells operators which
part of the system causes it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.observe.counters import Counters

SAME, OTHER, UNKNOWN = "same", "other", "unknown"


class TrafficCounter:
    """Adds bytes to the counter `peer_bytes`, labelled by purpose and data centre.

    >>> from fulmarhold.observe.counters import Counters
    >>> counters = Counters()
    >>> TrafficCounter("a", counters).add("feed", 120, "b")
    >>> counters.value("peer_bytes", purpose="feed", data_centre="other")
    120.0
    """

    def __init__(self, data_centre: str, counters: Counters) -> None:
        self._data_centre = data_centre
        self._counters = counters

    def add(self, purpose: str, size: int, data_centre: str) -> None:
        """Count `size` bytes exchanged with a peer in `data_centre`, empty if that is unknown."""
        if not size:
            return
        place = SAME if data_centre == self._data_centre else OTHER
        self._counters.add(
            "peer_bytes", size, purpose=purpose, data_centre=place if data_centre else UNKNOWN
        )
