"""All upstreams that this entry knows: those announced to it and those that other entries relay."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fulmarhold.membership.records import LocatedPeerReply

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.membership.announced import AnnouncedSet, LeasedRecord
    from fulmarhold.membership.records import PeerReply, UpstreamRecord

TOMBSTONE_AGE: Milliseconds = 60_000.0


@dataclass
class RelayedSet:
    """The upstreams that hold leases from one other entry, as of its last reply."""

    peer: str
    source: str = ""
    set_version: int = 0
    records: dict[str, UpstreamRecord] = field(default_factory=dict)
    data_centres: dict[str, str] = field(default_factory=dict)
    valid_until: Milliseconds = float("-inf")
    state: str = "unknown"

    def data_centre_of(self, address: str) -> str:
        """Return the data centre that an upstream has named, or an empty string."""
        return self.data_centres.get(address, "")


@dataclass(frozen=True)
class KnownUpstream:
    """The newest record of an upstream, and the holders of a lease for this incarnation."""

    record: UpstreamRecord
    holders: tuple[LeasedRecord | RelayedSet, ...]

    @property
    def data_centre(self) -> str:
        """The data centre that the upstream has named to a holder, or an empty string."""
        address = self.record.address
        named = (holder.data_centre_of(address) for holder in self.holders)
        return next(filter(None, named), "")

    def is_live(self, now: Milliseconds) -> bool:
        """Whether any lease for it still runs; nothing may be sent to it otherwise."""
        return any(holder.valid_until > now for holder in self.holders)


class Directory:
    """Merges announced and relayed records; `generation` grows when the result may have changed.

    `services` returns those that the configuration names, or `None` while none is known. Another
    service takes no address from them.
    """

    def __init__(
        self,
        announced: AnnouncedSet,
        clock: Clock,
        services: Callable[[], Container[str] | None] = lambda: None,
    ) -> None:
        self._announced = announced
        self._services = services
        self._clock = clock
        self._relayed: dict[str, RelayedSet] = {}
        self._newest: dict[str, tuple[UpstreamRecord, Milliseconds]] = {}
        self._left_incarnations: dict[str, int] = {}
        self._changes = 0

    @property
    def generation(self) -> tuple[int, int]:
        return self._announced.version, self._changes

    def relayed(self, peer: str) -> RelayedSet:
        """Return the set of a peer, empty if the peer has never replied."""
        return self._relayed.setdefault(peer, RelayedSet(peer))

    def live_peers(self) -> dict[str, RelayedSet]:
        """Return the peers whose relayed set is still within its lease."""
        now = self._clock.now()
        return {name: item for name, item in self._relayed.items() if item.valid_until > now}

    def retain_peers(self, names: Iterable[str]) -> None:
        """Remove every peer that is not in `names`."""
        kept = set(names)
        for name in [name for name in self._relayed if name not in kept]:
            del self._relayed[name]
            self._changes += 1

    def apply_reply(
        self, peer: str, reply: PeerReply, asked_at: Milliseconds, lease: float
    ) -> None:
        """Apply the reply of a peer to a poll; its lease starts when the poll was sent."""
        relayed = self.relayed(peer)
        if reply.records is not None:
            relayed.source, relayed.set_version = reply.source, reply.set_version
            relayed.records = {record.address: record for record in reply.records}
            relayed.data_centres = reply.data_centres if isinstance(reply, LocatedPeerReply) else {}
            self._changes += 1
        elif (reply.source, reply.set_version) != (relayed.source, relayed.set_version):
            return
        relayed.valid_until = max(relayed.valid_until, asked_at + lease)
        relayed.state = reply.state

    def note_left(self, address: str, incarnation: int) -> None:
        """Record that an upstream said in a response that it is leaving."""
        if self._left_incarnations.get(address, -1) < incarnation:
            self._left_incarnations[address] = incarnation
            self._changes += 1

    def known(self) -> list[KnownUpstream]:
        """Return the upstreams that accept new work, including those whose leases have ended."""
        statements: dict[str, list[tuple[UpstreamRecord, LeasedRecord | RelayedSet]]] = {}
        for held in self._announced.held():
            statements.setdefault(held.record.address, []).append((held.record, held))
        for relayed in self._relayed.values():
            for record in relayed.records.values():
                statements.setdefault(record.address, []).append((record, relayed))
        upstreams = [self._merge(address, candidates) for address, candidates in statements.items()]
        self._forget_old()
        return [upstream for upstream in upstreams if upstream is not None]

    def _merge(
        self, address: str, candidates: list[tuple[UpstreamRecord, LeasedRecord | RelayedSet]]
    ) -> KnownUpstream | None:
        record = max((record for record, _ in candidates), key=self._order)
        remembered = self._newest.get(address)
        if remembered is not None and self._order(remembered[0]) > self._order(record):
            record = remembered[0]
        self._newest[address] = (record, self._clock.now())
        if (
            record.state != "serving"
            or self._left_incarnations.get(address, -1) >= record.incarnation
        ):
            return None
        holders = tuple(
            holder
            for statement, holder in candidates
            if statement.incarnation == record.incarnation and statement.service == record.service
        )
        return KnownUpstream(record, holders) if holders else None

    def _order(self, record: UpstreamRecord) -> tuple[bool, tuple[int, int]]:
        """A sort key under which the record that holds an address compares greatest."""
        services = self._services()
        return services is None or record.service in services, record.order

    def _forget_old(self) -> None:
        oldest = self._clock.now() - TOMBSTONE_AGE
        for address in [key for key, (_, seen) in self._newest.items() if seen < oldest]:
            del self._newest[address]
            self._left_incarnations.pop(address, None)
