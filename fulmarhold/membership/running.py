"""The accepted state that this entry runs, and how long it is confirmed.

An entry serves on either of two confirmations, each valid for one lease from its request:

* the leader of control found, by a linearizable read, that the version is the current one;
* a majority of the roster of that version, this entry included, runs exactly that version.

Control counts a version as in force only once a majority of the roster runs it, and changes the
roster by one entry at a time under the same rule. So any two majorities share an entry, and no
majority can agree on an older version once a newer one is in force.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.configuration import configuration_from_document
from fulmarhold.membership.evacuation import Evacuations

if TYPE_CHECKING:
    from collections.abc import Container, Iterable
    from typing import Any

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.configuration import Configuration
    from fulmarhold.control.messages import RosterEntry

# Upper bound of the lease of one confirmation; control waits as long before it considers
# older versions out of use.
CONFIRMATION_LEASE: Milliseconds = 2_500.0


@dataclass(frozen=True)
class _PeerConfirmation:
    version: int
    asked_at: Milliseconds


class RunningState:
    """Version, configuration and roster of this entry, which only move to newer versions."""

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._granted_until: Milliseconds = float("-inf")
        self._peers: dict[str, _PeerConfirmation] = {}
        self.version = 0
        self.revision = 0
        self.document: dict[str, Any] | None = None
        self.configuration: Configuration | None = None
        self.roster: dict[str, RosterEntry] = {}
        self._evacuations = Evacuations()
        self.learned_from_control = False

    @property
    def services(self) -> Container[str] | None:
        """The names of the configured services, or `None` without a configuration."""
        return None if self.configuration is None else self.configuration.services

    @property
    def evacuations(self) -> Evacuations:
        """The newest set of evacuated data centres; kept when contact with control is lost."""
        return self._evacuations

    @property
    def lease(self) -> Milliseconds:
        """How long one confirmation is valid, in milliseconds."""
        if self.configuration is None:
            return CONFIRMATION_LEASE
        return min(self.configuration.timings.confirmation_lease_ms, CONFIRMATION_LEASE)

    @property
    def confirmed_until(self) -> Milliseconds:
        """The time, on its monotonic clock, until which this entry may serve."""
        return max(self._granted_until, self._majority_confirmed_until())

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
        """Switch to a newer accepted state and return whether it was newer; others are ignored."""
        if version <= self.version:
            return False
        if document is not None and document != self.document:
            self.configuration = configuration_from_document(document, "accepted configuration")
            self.document = document
        # A confirmation states that nothing newer was in force when it was requested, which holds
        # for the newer version too.
        self._granted_until = self.confirmed_until
        self._peers = {}
        self.version = version
        self.revision = revision
        self.roster = {entry.name: entry for entry in roster}
        return True

    def apply_evacuations(self, evacuations: Evacuations) -> bool:
        """Switch to a newer set of evacuated data centres and return whether it was newer."""
        if evacuations.version <= self._evacuations.version:
            return False
        self._evacuations = evacuations
        return True

    def confirm_by_control(self, version: int, asked_at: Milliseconds) -> None:
        """Record that control's leader, asked at `asked_at`, named `version` as the current one."""
        if version == self.version:
            self.learned_from_control = True
            self._granted_until = max(self._granted_until, asked_at + self.lease)

    def confirm_by_peer(self, peer: str, version: int, asked_at: Milliseconds) -> None:
        """Record that another entry, asked at `asked_at`, ran `version`."""
        self._peers[peer] = _PeerConfirmation(version, asked_at)

    def _majority_confirmed_until(self) -> Milliseconds:
        # Only control knows which version a restarted entry acknowledged before it stopped.
        if not self.roster or not self.learned_from_control:
            return float("-inf")
        times = sorted((self._confirmed_at(name) for name in self.roster), reverse=True)
        return times[len(self.roster) // 2] + self.lease

    def _confirmed_at(self, name: str) -> Milliseconds:
        if name == self._name:
            return self._clock.now()
        confirmation = self._peers.get(name)
        if confirmation is None or confirmation.version != self.version:
            return float("-inf")
        return confirmation.asked_at
