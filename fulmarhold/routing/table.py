"""Replicas of every service by layout, version and shard, updated from the directory."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds
from fulmarhold.routing.replica import Replica
from fulmarhold.upstreams.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from fulmarhold.clock import Clock
    from fulmarhold.configuration import Configuration, ServiceConfiguration
    from fulmarhold.limits.memory import MemoryBudget
    from fulmarhold.membership.directory import Directory, KnownUpstream
    from fulmarhold.membership.running import RunningState
    from fulmarhold.observe.counters import Counters


@dataclass(frozen=True)
class SnapshotReplicas:
    """The replicas that hold one version of one layout, by shard."""

    layout: str
    version: int
    total: int
    shards: dict[int, tuple[Replica, ...]]

    def live_shard_count(self, now: Milliseconds) -> int:
        """Return the number of shards with at least one live replica."""
        return sum(
            1
            for replicas in self.shards.values()
            if any(replica.is_live(now) for replica in replicas)
        )


class RoutingTable:
    """Replicas by service, rebuilt after changes of the directory or the configuration.

    Replicas that are still in the directory are kept across rebuilds, with their connections.
    """

    def __init__(
        self,
        directory: Directory,
        running: RunningState,
        clock: Clock,
        counters: Counters,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = memory
        self._directory = directory
        self._running = running
        self._clock = clock
        self._counters = counters
        self._random = Random()
        self._replicas: dict[tuple[str, int], Replica] = {}
        self._draining_pools: list[ConnectionPool] = []
        self._snapshots: dict[str, tuple[SnapshotReplicas, ...]] = {}
        self._built_from: object = None

    @property
    def replicas(self) -> Collection[Replica]:
        return self._replicas.values()

    def snapshots(self, service: str) -> tuple[SnapshotReplicas, ...]:
        """Return the snapshots of a service that upstreams hold, newest version first."""
        self._refresh()
        return self._snapshots.get(service, ())

    def maintain(self) -> None:
        """Open warm connections and close overdue ones; called periodically."""
        self._refresh()
        if self._running.configuration is None:
            return
        for replica in self._replicas.values():
            replica.pool.maintain()
        self._draining_pools = [pool for pool in self._draining_pools if pool.connections]
        for pool in self._draining_pools:
            pool.maintain()

    def close(self) -> None:
        """Close every connection."""
        for pool in [*(replica.pool for replica in self._replicas.values()), *self._draining_pools]:
            pool.close()

    def _refresh(self) -> None:
        configuration = self._running.configuration
        evacuations = self._running.evacuations
        state = (self._directory.generation, self._running.version, evacuations.version)
        if state == self._built_from or configuration is None:
            return
        self._built_from = state
        known = [
            upstream
            for upstream in self._directory.known()
            if upstream.record.service in configuration.services
            and upstream.data_centre not in evacuations.data_centres
        ]
        self._update_replicas(known, configuration)
        self._snapshots = _group_snapshots(self._replicas.values())

    def _update_replicas(self, known: list[KnownUpstream], configuration: Configuration) -> None:
        previous, self._replicas = self._replicas, {}
        for upstream in known:
            service = configuration.services[upstream.record.service]
            key = (upstream.record.address, upstream.record.incarnation)
            replica = previous.pop(key, None)
            if replica is None:
                replica = self._make_replica(upstream, service, configuration.entries)
            replica.upstream = upstream
            replica.share_pace(configuration.entries)
            self._replicas[key] = replica
        for replica in previous.values():
            replica.pool.close_when_idle()
            self._draining_pools.append(replica.pool)

    def _make_replica(
        self, upstream: KnownUpstream, service: ServiceConfiguration, entries: int
    ) -> Replica:
        limit = min(
            service.connections_per_entry, max(1, upstream.record.connection_limit // entries)
        )
        pool = ConnectionPool(
            upstream.record.address,
            limit,
            service.warm_connections,
            self._clock,
            self._counters,
            self._memory,
        )
        return Replica(
            upstream,
            pool,
            service.ejection_ms,
            self._clock.now(),
            is_starting=service.slow_start_ms > 0,
            entries=entries,
            phase=self._random.random(),
        )


def _group_snapshots(replicas: Iterable[Replica]) -> dict[str, tuple[SnapshotReplicas, ...]]:
    grouped: dict[tuple[str, str, int], dict[int, list[Replica]]] = {}
    totals: dict[tuple[str, str], int] = {}
    for replica in replicas:
        record = replica.upstream.record
        totals[(record.service, record.layout)] = record.layout_shards
        for version in record.versions:
            shards = grouped.setdefault((record.service, record.layout, version), {})
            shards.setdefault(record.shard, []).append(replica)
    snapshots: dict[str, list[SnapshotReplicas]] = {}
    for (service, layout, version), shards in grouped.items():
        snapshots.setdefault(service, []).append(
            SnapshotReplicas(
                layout,
                version,
                totals[(service, layout)],
                {shard: tuple(held) for shard, held in shards.items()},
            )
        )
    return {
        service: tuple(sorted(held, key=lambda item: (-item.version, item.layout)))
        for service, held in snapshots.items()
    }
