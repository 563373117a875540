"""The accepted state that this entry runs by, and for how long it is confirmed.

An entry serves on either of two confirmations, each valid for one lease from when it was asked:

* the leader of control, by a linearizable read, said that the version is the present one;
* a majority of the roster of that version, this entry included, runs exactly that version.

Control counts a version as in force only once a majority of the roster runs it, and changes the
roster by one entry at a time under the same rule. So any two majorities share an entry, and no
majority can agree on an older version once a newer one is in force.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.configuration import configuration_from_document

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.configuration import Configuration
    from fulmarhold.control.messages import RosterEntry

# The longest that any entry serves on one confirmation; control waits for as long.
CONFIRMATION_LEASE: Milliseconds = 2_500.0


@dataclass(frozen=True)
class _PeerConfirmation:
    version: int
    asked_at: Milliseconds


class RunningState:
    """Version, configuration and roster of this entry, which only ever move forward."""

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._kept_until: Milliseconds = float("-inf")
        self._peers: dict[str, _PeerConfirmation] = {}
        self.version = 0
        self.revision = 0
        self.document: dict[str, Any] | None = None
        self.configuration: Configuration | None = None
        self.roster: dict[str, RosterEntry] = {}
        self.learned_from_control = False

    @property
    def lease(self) -> Milliseconds:
        """How long one confirmation holds, in milliseconds."""
        if self.configuration is None:
            return CONFIRMATION_LEASE
        return min(self.configuration.timings.confirmation_lease_ms, CONFIRMATION_LEASE)

    @property
    def confirmed_until(self) -> Milliseconds:
        """Until when this entry may serve, on its monotonic clock."""
        return max(self._kept_until, self._agreed_until())

    @property
    def is_confirmed(self) -> bool:
        """Whether this entry may serve now."""
        return self.configuration is not None and self._clock.now() < self.confirmed_until

    def apply(
        self,
        version: int,
        revision: int,
        document: dict[str, Any] | None,
        roster: Iterable[RosterEntry],
    ) -> bool:
        """Move on to a newer accepted state; an older or equal one changes nothing."""
        if version <= self.version:
            return False
        if document is not None and document != self.document:
            self.configuration = configuration_from_document(document, "accepted configuration")
            self.document = document
        # A confirmation says that nothing newer was in force when it was asked for; that is as
        # true for the newer version.
        self._kept_until = self.confirmed_until
        self._peers = {}
        self.version = version
        self.revision = revision
        self.roster = {entry.name: entry for entry in roster}
        return True

    def confirm_by_control(self, version: int, asked_at: Milliseconds) -> None:
        """Note that control's leader, asked at that time, named this as the present version."""
        if version == self.version:
            self.learned_from_control = True
            self._kept_until = max(self._kept_until, asked_at + self.lease)

    def confirm_by_peer(self, peer: str, version: int, asked_at: Milliseconds) -> None:
        """Note that another entry, asked at that time, ran that version."""
        self._peers[peer] = _PeerConfirmation(version, asked_at)

    def _agreed_until(self) -> Milliseconds:
        # What a restarted entry acknowledged before it stopped is known only to control.
        if not self.roster or not self.learned_from_control:
            return float("-inf")
        times = sorted((self._agreed_at(name) for name in self.roster), reverse=True)
        return times[len(self.roster) // 2] + self.lease

    def _agreed_at(self, name: str) -> Milliseconds:
        if name == self._name:
            return self._clock.now()
        confirmation = self._peers.get(name)
        if confirmation is None or confirmation.version != self.version:
            return float("-inf")
        return confirmation.asked_at
