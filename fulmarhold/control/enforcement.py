"""Determines when no entry can serve by an older version of the configuration any more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.membership.running import CONFIRMATION_LEASE

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarhold.clock import Milliseconds
    from fulmarhold.control.presence import Presence


class Enforcement:
    """Tracks one accepted version until it is in force everywhere.

    It is in force once a majority of the roster runs it, and every entry either runs it or has lost
    its lease: no confirmation of an older version is valid for longer than `CONFIRMATION_LEASE`.
    """

    def __init__(self, version: int, presence: Presence) -> None:
        self._version = version
        self._presence = presence
        self._majority_at: Milliseconds | None = None

    def behind(self, roster: Collection[str]) -> tuple[str, ...]:
        """Return the entries, in the roster or synced before, not yet known to run the version."""
        return self._presence.behind(self._version, {*roster, *self._presence.names})

    def is_complete(self, roster: Collection[str], now: Milliseconds) -> bool:
        """Return whether the version is in force; must be called regularly until it is."""
        if self._majority_at is None and self._presence.has_majority(self._version, roster):
            self._majority_at = now
        if self._majority_at is None:
            return False
        return not self.behind(roster) or now > self._majority_at + CONFIRMATION_LEASE
