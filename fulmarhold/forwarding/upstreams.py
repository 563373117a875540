"""The table of every service's upstreams, updated from configuration and membership."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds
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
    from fulmarhold.routes.configuration import RouteConfiguration

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
    ) -> None:
        self._events = events
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
        self._unresponsive: set[tuple[str, int]] = set()
        self._typical_latencies: dict[tuple[str, ...], QuantileEstimate] = {}

    @property
    def replicas(self) -> Collection[Replica]:
        return self._replicas.values()

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
    ) -> None:
        """Set which upstreams serve, and how many entries share their connections.

        With `keep_warm`, connections are opened before any request needs them. `evacuated` names
        upstreams that are left out though they serve.
        """
        self._evacuated = frozenset(evacuated)
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
            if replica is None:
                signals, _ = self._departed.pop(key, (None, 0.0))
                replica = self._make_replica(statement, limit, signals)
            elif replica.address != statement.address:
                # What is under way at the old address may end there.
                replica.pool.resize(limit, 0)
                self._draining.append(replica)
                replica = self._make_replica(statement, limit, replica.signals)
            replica.typical_latency = typical
            replica.upstream = ServingUpstream(statement)
            replica.pool.resize(limit, WARM_CONNECTIONS if keep_warm else 0)
            self._replicas[key] = replica
            self._by_name[statement.name] = replica
            self._by_service.setdefault(statement.service, []).append(replica)
        now = self._clock.now()
        for key, replica in before.items():
            self._departed[key] = replica.signals, now
            self._unresponsive.discard(replica.key)
            replica.pool.close_when_idle()
            self._draining.append(replica)
        self.maintain()

    def maintain(self) -> None:
        """Close idle and overdue connections and open warm ones; called periodically."""
        now = self._clock.now()
        for replica in self._replicas.values():
            self._maintain(replica, now)
            self._log_responsiveness(replica, now)
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
            self._unresponsive.add(replica.key)
            log.info("upstream {} of {} has stopped replying", record.name, record.service)
        else:
            self._unresponsive.discard(replica.key)
            log.info("upstream {} of {} replies again", record.name, record.service)

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
        self, statement: UpstreamStatement, limit: int, signals: AnswerSignals | None
    ) -> Replica:
        pool = ConnectionPool(
            statement.address, limit, 0, self._clock, self._counters, self._memory
        )
        return Replica(
            ServingUpstream(statement),
            pool,
            EJECTION_TIME,
            statement.warm_up,
            self._clock.now(),
            is_local=statement.data_centre == self._data_centre,
            signals=signals,
        )


def _connection_share(limit: int, entries: int) -> int:
    return max(1, int(limit * (1 - CONNECTION_RESERVE)) // max(1, entries))
