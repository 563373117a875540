"""Which entry instances a caller should use, and how long it may keep the answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.membership.exchange import DEFAULT_POLL_LEASE

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.control.messages import RosterEntry
    from fulmarhold.membership.directory import Directory
    from fulmarhold.membership.exchange import MembershipExchange
    from fulmarhold.membership.running import RunningState

# Added to the time that a leaving entry serves on, for an answer that travels slowly.
TRAVEL_MARGIN: Milliseconds = 500.0
FIRST_KEEP: Milliseconds = 1_000.0


@dataclass(frozen=True)
class AddressAnswer:
    """Addresses in order of preference, and how long they may be kept in milliseconds."""

    addresses: tuple[str, ...]
    keep_ms: Milliseconds


class Addresses:
    """Answers callers and upstreams that look for entry instances."""

    def __init__(
        self,
        own: RosterEntry,
        running: RunningState,
        directory: Directory,
        exchange: MembershipExchange,
    ) -> None:
        self._own = own
        self._running = running
        self._directory = directory
        self._exchange = exchange

    @property
    def keep(self) -> Milliseconds:
        configuration = self._running.configuration
        return configuration.timings.address_answer_ms if configuration else FIRST_KEEP

    @property
    def leaving_time(self) -> Milliseconds:
        """How long a leaving entry must still serve until every answer that names it is over.

        Others may name it until their last poll of it runs out, and callers keep that answer.
        """
        poll_lease = max(self._exchange.poll_lease, DEFAULT_POLL_LEASE)
        return poll_lease + self.keep + TRAVEL_MARGIN

    def answer(self, data_centre: str) -> AddressAnswer:
        """Return the serving instances, those of the caller's data centre first."""
        named = [entry for entry in self._serving() if entry.name != self._own.name]
        if self._exchange.state == "serving" and self._running.is_confirmed:
            named.append(self._own)
        named.sort(key=lambda entry: (entry.data_centre != data_centre, entry.name))
        return AddressAnswer(tuple(entry.caller_endpoint for entry in named), self.keep)

    def _serving(self) -> list[RosterEntry]:
        live = self._directory.live_peers()
        return [
            entry
            for name, entry in self._running.roster.items()
            if name in live and live[name].state == "serving"
        ]
