"""The table of every service's upstreams, updated from configuration and membership."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds
from fulmarhold.limits.cold import (
    DEFAULT_BOUND,
    WINDOW,
    ColdGate,
    EntryShares,
    WarmUpBound,
    warm_up_left,
)
from fulmarhold.limits.pace import PaceReason
from fulmarhold.membership.statements import RETENTION_AFTER_END
from fulmarhold.observe.estimates import QuantileEstimate
from fulmarhold.observe.logs import get_logger
from fulmarhold.observe.traffic import TrafficCounter
from fulmarhold.routing.availability import AnswerSignals, Availability, Reason
from fulmarhold.routing.replica import INITIAL_LATENCY, Replica
from fulmarhold.upstreams.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from fulmarhold.clock import Clock
    from fulmarhold.limits.memory import MemoryBudget
    from fulmarhold.membership.statements import UpstreamStatement
    from fulmarhold.observe.counters import Counters
    from fulmarhold.observe.events import EventLog
    from fulmarhold.routes.configuration import RouteConfiguration, UpstreamService

log = get_logger("upstreams")

# The share of an upstream's connection limit that stays unused, so that entries don't exceed the
# limit while entries join or leave and the shares change.
CONNECTION_RESERVE = 0.1
# Connections kept open to each upstream, because a hedge that first had to connect would be late by
# a round trip and the upstream's handshake.
WARM_CONNECTIONS = 1
# How long an upstream is ejected the first time, after three failures in a row.
EJECTION_TIME: Milliseconds = 1_000.0


@dataclass(frozen=True)
class ServingUpstream:
    """An upstream that accepts requests until the table is updated without it."""

    record: UpstreamStatement

    def is_live(self, _: Milliseconds) -> bool:
        """Always true: upstreams leave by membership statements here, not by expired leases."""
        return True


class UpstreamTable:
    """Replicas by service; each is kept as long as its incarnation is known to serve."""

    def __init__(
        self,
        data_centre: str,
        clock: Clock,
        counters: Counters,
        memory: MemoryBudget | None = None,
        events: EventLog | None = None,
        own: str = "",
    ) -> None:
        self._events = events
        self._shares = EntryShares(own)
        self._cold: set[tuple[str, int]] = set()
        self._data_centre = data_centre
        self._memory = memory
        self._clock = clock
        self._counters = counters
        self._traffic = TrafficCounter(data_centre, counters)
        self._replicas: dict[tuple[str, int], Replica] = {}
        self._by_service: dict[str, list[Replica]] = {}
        self._by_name: dict[str, Replica] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._draining: list[Replica] = []
        # What incarnations that are not in the table have said, since statements about them may
        # be late, and when each left the table.
        self._departed: dict[tuple[str, int], tuple[AnswerSignals, Milliseconds]] = {}
        self._unresponsive: dict[tuple[str, int], Milliseconds] = {}
        # Upstreams that are not used at full pace, and since when.
        self._paced: dict[tuple[str, int], Milliseconds] = {}
        self._entries = 1
        self._random = Random()
        self._typical_latencies: dict[tuple[str, ...], QuantileEstimate] = {}

    @property
    def replicas(self) -> Collection[Replica]:
        return self._replicas.values()

    def paces(self) -> Iterable[tuple[PaceReason, int]]:
        """Return the number of upstreams that are not used at full pace, by reason."""
        reasons = Counter(item.pace.reason for item in self._replicas.values())
        return [(reason, reasons[reason]) for reason in PaceReason]

    @property
    def cold(self) -> int:
        """The number of upstreams that are cold."""
        return len(self._cold)

    def of_service(self, service: str) -> list[Replica]:
        """Return the replicas of a service."""
        return self._by_service.get(service, [])

    def find(self, name: str) -> Replica | None:
        """Return the replica that is the upstream with this name, if it serves."""
        return self._by_name.get(name)

    def is_evacuated(self, name: str) -> bool:
        """Whether the upstream with this name is left out because of an evacuation."""
        return name in self._evacuated

    def update(
        self,
        upstreams: list[UpstreamStatement],
        configuration: RouteConfiguration,
        entries: int,
        *,
        keep_warm: bool,
        evacuated: Iterable[str] = (),
        active: Collection[str] = (),
        warm_up_bound: WarmUpBound = DEFAULT_BOUND,
    ) -> None:
        """Set which upstreams serve, and how many entries share their connections.

        With `keep_warm`, connections are opened before any request needs them. `evacuated` names
        upstreams that are left out though they serve. `active` names the entries that share what
        cold upstreams bear; without it, those get nothing.
        """
        now = self._clock.now()
        self._evacuated = frozenset(evacuated)
        self._shares.update(active, now)
        self._entries = entries
        # What an entry that starts finds serving has not just started.
        is_first = not self._replicas
        before, self._replicas, self._by_service = self._replicas, {}, {}
        self._by_name = {}
        typical_before, self._typical_latencies = self._typical_latencies, {}
        for statement in upstreams:
            service = configuration.services.get(statement.service)
            if service is None:
                continue
            key = (statement.name, statement.born)
            limit = _connection_share(service.connection_limit, entries)
            replica = before.pop(key, None)
            typical = self._typical_latency(statement.service, configuration, typical_before)
            if replica is None or replica.address != statement.address:
                signals, _ = self._departed.pop(key, (None, 0.0))
                if replica is not None:
                    # What is under way at the old address may end there.
                    replica.pool.resize(limit, 0)
                    self._draining.append(replica)
                    signals = replica.signals
                replica = self._make_replica(
                    statement,
                    limit,
                    signals,
                    is_starting=statement.warm_up > 0 or not is_first,
                    # A service that states how long its upstreams are cold asks for a pace.
                    is_paced=service.warm_up > 0,
                )
            replica.typical_latency = typical
            known = replica.upstream.record
            replica.upstream = ServingUpstream(statement)
            self._update_cold(replica, known, service, warm_up_bound, is_first=is_first)
            replica.share_pace(entries)
            replica.pool.resize(limit, WARM_CONNECTIONS if keep_warm else 0)
            self._replicas[key] = replica
            self._by_name[statement.name] = replica
            self._by_service.setdefault(statement.service, []).append(replica)
        for key, replica in before.items():
            self._departed[key] = replica.signals, now
            self._unresponsive.pop(replica.key, None)
            self._paced.pop(replica.key, None)
            self._cold.discard(replica.key)
            replica.pool.close_when_idle()
            self._draining.append(replica)
        self.maintain()

    def note_contact(self, age: Milliseconds) -> None:
        """Set how long ago control confirmed what this entry knows; called periodically."""
        now = self._clock.now()
        self._shares.note_contact(now - age, now)

    def _update_cold(
        self,
        replica: Replica,
        known: UpstreamStatement,
        service: UpstreamService,
        bound: WarmUpBound,
        *,
        is_first: bool,
    ) -> None:
        """Set until when an upstream is cold; `known` is the statement that was last used."""
        if service.warm_up_rate <= 0:
            replica.cold = None
            return
        now, statement = self._clock.now(), replica.upstream.record
        if replica.cold is None:
            name = f"{statement.name}/{statement.born}"
            replica.cold = ColdGate(self._shares, name, bound, service.warm_up_rate)
            age = self._clock.wall() - statement.born
            remaining = warm_up_left(service.warm_up, age, is_new=not is_first)
            replica.note_cold(max(statement.warm_up, remaining), now)
        else:
            replica.cold.resize(bound, service.warm_up_rate)
            if statement.sequence != known.sequence:
                replica.note_cold(statement.warm_up, now)

    def maintain(self) -> None:
        """Close idle and overdue connections and open warm ones; called periodically."""
        now = self._clock.now()
        for replica in self._replicas.values():
            self._maintain(replica, now)
            self._log_responsiveness(replica, now)
            self._log_pace(replica, now)
            self._log_cold(replica, now)
        for replica in self._draining:
            self._maintain(replica, now)
        self._draining = [replica for replica in self._draining if replica.pool.connections]
        oldest = now - RETENTION_AFTER_END
        for key in [key for key, (_, at) in self._departed.items() if at < oldest]:
            del self._departed[key]

    def count_held_back(self, reason: Reason) -> int:
        """Return how many upstreams get no work now for a reason."""
        now = self._clock.now()
        held = (item.held_back(now, is_admitted=True) for item in self._replicas.values())
        return sum(1 for item in held if item.reason is reason)

    def _maintain(self, replica: Replica, now: Milliseconds) -> None:
        replica.pool.maintain()
        self._count_traffic(replica)
        if replica.signals.is_clear:
            return
        if replica.signals.is_leaving:
            # The answer that said so may have come on a connection of another replica of it.
            replica.pool.close_when_idle()
        ended = replica.signals.end_pause(now)
        if ended is not None:
            self._report_used_again(replica, ended, now)

    def _report_used_again(self, replica: Replica, ended: Availability, now: Milliseconds) -> None:
        self._counters.add("upstreams_used_again", reason=Reason.PAUSED.value)
        if self._events is not None:
            record = replica.upstream.record
            self._events.record(
                "upstream_used_again",
                request=ended.source,
                service=record.service,
                upstream=record.name,
                reason=Reason.PAUSED.value,
                after_ms=now - (ended.since or now),
            )

    def _count_traffic(self, replica: Replica) -> None:
        data_centre = replica.upstream.record.data_centre
        self._traffic.add("requests", replica.pool.take_bytes(), data_centre)

    def _log_responsiveness(self, replica: Replica, now: Milliseconds) -> None:
        is_unresponsive = replica.is_unresponsive(now)
        if is_unresponsive == (replica.key in self._unresponsive):
            return
        record = replica.upstream.record
        if is_unresponsive:
            self._unresponsive[replica.key] = now
            log.info("upstream {} of {} has stopped replying", record.name, record.service)
        else:
            replica.note_responsive_again(now - self._unresponsive.pop(replica.key), now)
            log.info("upstream {} of {} replies again", record.name, record.service)

    def _log_pace(self, replica: Replica, now: Milliseconds) -> None:
        pace, key = replica.pace, replica.key
        if pace.is_full == (key not in self._paced):
            return
        record = replica.upstream.record
        if pace.reason is None:
            since = self._paced.pop(key)
            log.info(
                "upstream {} of {} is used at full pace again after {:.0f} ms",
                record.name,
                record.service,
                now - since,
            )
            return
        self._paced[key] = now
        self._counters.add("upstreams_paced", reason=pace.reason.value)
        log.info(
            "upstream {} of {} is used at {:.2f} of its {} slots, shared by {} entries: {}, "
            "its usual latency is {} ms",
            record.name,
            record.service,
            pace.share,
            record.slots,
            self._entries,
            pace.reason.value,
            "unknown" if pace.usual_latency is None else round(pace.usual_latency),
        )

    def _log_cold(self, replica: Replica, now: Milliseconds) -> None:
        gate, key, record = replica.cold, replica.key, replica.upstream.record
        is_cold = gate is not None and gate.is_cold(now)
        if is_cold == (key in self._cold):
            return
        if gate is not None and is_cold:
            self._cold.add(key)
            self._counters.add("upstreams_cold")
            log.info(
                "upstream {} of {} is cold for {:.0f} ms: at most {:g} requests a second may reach "
                "it, this entry's part is {} in {:.0f} ms",
                record.name,
                record.service,
                gate.cold_until - now,
                gate.total,
                gate.part(now),
                WINDOW,
            )
        else:
            self._cold.discard(key)
            replica.note_warm(now)
            log.info("upstream {} of {} is no longer cold", record.name, record.service)

    def close(self) -> None:
        """Close every connection."""
        for replica in [*self._replicas.values(), *self._draining]:
            replica.pool.close()

    def _typical_latency(
        self,
        service: str,
        configuration: RouteConfiguration,
        before: dict[tuple[str, ...], QuantileEstimate],
    ) -> QuantileEstimate:
        """Return the estimate that a route's shard services share, as they do the same work."""
        kind = next(
            (route.service_names for route in configuration.routes if service in route.shards),
            (service,),
        )
        if kind not in self._typical_latencies:
            self._typical_latencies[kind] = before.get(kind) or QuantileEstimate(
                0.5, INITIAL_LATENCY
            )
        return self._typical_latencies[kind]

    def _make_replica(
        self,
        statement: UpstreamStatement,
        limit: int,
        signals: AnswerSignals | None,
        *,
        is_starting: bool,
        is_paced: bool,
    ) -> Replica:
        pool = ConnectionPool(
            statement.address, limit, 0, self._clock, self._counters, self._memory
        )
        return Replica(
            ServingUpstream(statement),
            pool,
            EJECTION_TIME,
            self._clock.now(),
            is_local=statement.data_centre == self._data_centre,
            signals=signals,
            is_starting=is_starting,
            is_paced=is_paced,
            slow_start=statement.warm_up,
            entries=self._entries,
            phase=self._random.random(),
        )


def _connection_share(limit: int, entries: int) -> int:
    return max(1, int(limit * (1 - CONNECTION_RESERVE)) // max(1, entries))
