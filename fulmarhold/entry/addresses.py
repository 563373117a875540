"""Tells callers which entry instances to use and how long to cache the addresses."""

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

# Extra time that a leaving entry keeps serving, in case an address answer arrives late.
NETWORK_DELAY_MARGIN: Milliseconds = 500.0
# Used while no configuration is known.
DEFAULT_KEEP_TIME: Milliseconds = 1_000.0


@dataclass(frozen=True)
class AddressAnswer:
    """Addresses in order of preference, and for how many milliseconds to cache them."""

    addresses: tuple[str, ...]
    keep_ms: Milliseconds


class EntryAddresses:
    """Lists the entry instances for callers and upstreams."""

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
    def keep_time(self) -> Milliseconds:
        configuration = self._running.configuration
        return configuration.timings.address_answer_ms if configuration else DEFAULT_KEEP_TIME

    @property
    def drain_duration(self) -> Milliseconds:
        """How long a leaving entry must keep serving until no cached answer contains it.

        Other entries may return its address until the lease of their last poll expires, and
        callers cache that answer.
        """
        poll_lease = max(self._exchange.poll_lease, DEFAULT_POLL_LEASE)
        return poll_lease + self.keep_time + NETWORK_DELAY_MARGIN

    def answer(self, data_centre: str) -> AddressAnswer:
        """Return the serving instances, those in the caller's data centre first."""
        entries = [entry for entry in self._serving_peers() if entry.name != self._own.name]
        if self._exchange.state == "serving" and self._running.is_confirmed:
            entries.append(self._own)
        entries.sort(key=lambda entry: (entry.data_centre != data_centre, entry.name))
        return AddressAnswer(tuple(entry.caller_endpoint for entry in entries), self.keep_time)

    def _serving_peers(self) -> list[RosterEntry]:
        live_peers = self._directory.live_peers()
        return [
            entry
            for name, entry in self._running.roster.items()
            if name in live_peers and live_peers[name].state == "serving"
        ]
