"""The upstreams of every service as targets, kept up with configuration and membership."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds
from fulmarhold.observe.estimates import QuantileEstimate
from fulmarhold.observe.logs import part_log
from fulmarhold.routing.replica import INITIAL_LATENCY, Replica
from fulmarhold.upstreams.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Clock
    from fulmarhold.membership.statements import UpstreamStatement
    from fulmarhold.observe.counters import Counters
    from fulmarhold.routes.configuration import RouteConfiguration

log = part_log("upstreams")

# Connections of one upstream that stay unused, so that entries that come or go do not pass its
# limit while their shares change.
CONNECTION_RESERVE = 0.1
# Connections kept open to each upstream: a hedge that first had to connect would come a trip and
# the upstream's handshake later.
WARM_CONNECTIONS = 1
# How long an upstream that failed three times in a row is passed over at first.
EJECTION: Milliseconds = 1_000.0
LEAVING_EXCHANGE: Milliseconds = 60_000.0
LONGEST_EXCHANGE: Milliseconds = 60_000.0


@dataclass(frozen=True)
class ServingUpstream:
    """An upstream that takes work until the table is told otherwise."""

    record: UpstreamStatement

    def is_live(self, _: Milliseconds) -> bool:
        """Membership ends by statements here, not by leases."""
        return True


class UpstreamTable:
    """Replicas by service; one lives as long as its incarnation is known to serve."""

    def __init__(self, data_centre: str, clock: Clock, counters: Counters) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._counters = counters
        self._replicas: dict[tuple[str, int], Replica] = {}
        self._by_service: dict[str, list[Replica]] = {}
        self._leaving: list[ConnectionPool] = []
        self._dark: set[tuple[str, int]] = set()
        self._usual: dict[tuple[str, ...], QuantileEstimate] = {}

    @property
    def replicas(self) -> Iterable[Replica]:
        return self._replicas.values()

    def of_service(self, service: str) -> list[Replica]:
        """Return the replicas of a service."""
        return self._by_service.get(service, [])

    def update(
        self,
        upstreams: list[UpstreamStatement],
        configuration: RouteConfiguration,
        entries: int,
        *,
        keep_warm: bool,
    ) -> None:
        """Take over which upstreams serve, and how many entries share their connections.

        With `keep_warm` connections are open before any request needs them.
        """
        before, self._replicas, self._by_service = self._replicas, {}, {}
        usual_before, self._usual = self._usual, {}
        for statement in upstreams:
            service = configuration.services.get(statement.service)
            if service is None:
                continue
            key = (statement.name, statement.born)
            limit = _connection_share(service.connection_limit, entries)
            replica = before.pop(key, None)
            usual = self._usual_latency(statement.service, configuration, usual_before)
            if replica is None or replica.address != statement.address:
                replica = self._make_replica(statement, limit)
            replica.typical_latency = usual
            replica.upstream = ServingUpstream(statement)
            replica.pool.resize(limit, WARM_CONNECTIONS if keep_warm else 0)
            self._replicas[key] = replica
            self._by_service.setdefault(statement.service, []).append(replica)
        for replica in before.values():
            self._dark.discard(replica.key)
            replica.pool.close_when_idle()
            self._leaving.append(replica.pool)
        self.maintain()

    def maintain(self) -> None:
        """Close connections that idle or wait too long; called regularly."""
        now = self._clock.now()
        for replica in self._replicas.values():
            replica.pool.maintain(LONGEST_EXCHANGE)
            self._tell_darkness(replica, now)
        self._leaving = [pool for pool in self._leaving if pool.connections]
        for pool in self._leaving:
            pool.maintain(LEAVING_EXCHANGE)

    def _tell_darkness(self, replica: Replica, now: Milliseconds) -> None:
        is_unresponsive = replica.is_unresponsive(now)
        if is_unresponsive == (replica.key in self._dark):
            return
        record = replica.upstream.record
        if is_unresponsive:
            self._dark.add(replica.key)
            log.info("upstream {} of {} has stopped replying", record.name, record.service)
        else:
            self._dark.discard(replica.key)
            log.info("upstream {} of {} replies again", record.name, record.service)

    def close(self) -> None:
        """Close every connection."""
        for pool in [*(replica.pool for replica in self._replicas.values()), *self._leaving]:
            pool.close()

    def _usual_latency(
        self,
        service: str,
        configuration: RouteConfiguration,
        before: dict[tuple[str, ...], QuantileEstimate],
    ) -> QuantileEstimate:
        """Return the estimate that the services of a route share, since they do the same work."""
        kind = next(
            (route.service_names for route in configuration.routes if service in route.shards),
            (service,),
        )
        if kind not in self._usual:
            self._usual[kind] = before.get(kind) or QuantileEstimate(0.5, INITIAL_LATENCY)
        return self._usual[kind]

    def _make_replica(self, statement: UpstreamStatement, limit: int) -> Replica:
        pool = ConnectionPool(statement.address, limit, 0, self._clock, self._counters)
        return Replica(
            ServingUpstream(statement),
            pool,
            EJECTION,
            statement.warm_up,
            self._clock.now(),
            is_local=statement.data_centre == self._data_centre,
        )


def _connection_share(limit: int, entries: int) -> int:
    return max(1, int(limit * (1 - CONNECTION_RESERVE)) // max(1, entries))
