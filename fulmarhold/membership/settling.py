"""Tells whether the set of active entries has stayed the same for a while.

While a fleet starts, each entry knows only few of the others, and would take a large share of what
all of them share: the connections of the upstreams and the slack of extra attempts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarhold.clock import Milliseconds

SETTLING_TIME: Milliseconds = 600.0


class Settling:
    """Follows the names of the active entries.

    >>> settling = Settling(now=0.0)
    >>> settling.update({"a"}, 100.0), settling.check(600.0), settling.check(701.0)
    (None, False, True)
    >>> settling.update({"a", "b"}, 800.0), settling.is_settled, settling.has_settled
    (None, False, True)
    """

    def __init__(self, now: Milliseconds) -> None:
        self._names: frozenset[str] = frozenset()
        self._changed_at = now
        self._is_settled = False
        self._has_settled = False

    @property
    def is_settled(self) -> bool:
        """Whether the set has not changed for `SETTLING_TIME`."""
        return self._is_settled

    @property
    def has_settled(self) -> bool:
        """Whether the set was settled at any time since the start."""
        return self._has_settled

    def update(self, names: Collection[str], now: Milliseconds) -> None:
        """Record the current set of active entries."""
        if self._names != frozenset(names):
            self._names = frozenset(names)
            self._changed_at = now
            self._is_settled = False

    def check(self, now: Milliseconds) -> bool:
        """Return whether the set has settled since the last call."""
        if self._is_settled or now <= self._changed_at + SETTLING_TIME:
            return False
        self._is_settled = self._has_settled = True
        return True
