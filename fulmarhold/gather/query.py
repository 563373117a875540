"""Runs idempotent queries on one snapshot; reruns incomplete ones on a better snapshot."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from fulmarhold.gather.outcome import Answered, NotRunReason, Refused
from fulmarhold.gather.scatter import Scatter
from fulmarhold.upstreams.protocol import RequestTemplate

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.gather.scatter import Policy
    from fulmarhold.membership.directory import Directory
    from fulmarhold.observe.counters import Counters
    from fulmarhold.routing.table import RoutingTable, SnapshotReplicas

# A query is rerun only while at least this share of its time is left.
MIN_TIME_SHARE_FOR_RERUN = 0.4


class QueryRunner:
    """Runs the idempotent queries of all services."""

    def __init__(
        self, table: RoutingTable, directory: Directory, clock: Clock, counters: Counters
    ) -> None:
        self._table = table
        self._directory = directory
        self._clock = clock
        self._counters = counters
        self._random = Random()

    def run(
        self,
        request_id: str,
        request_type: str,
        body: bytes,
        policy: Policy,
        deadline_at: Milliseconds,
    ) -> Answered:
        """Return the answer; raises `Refused` before anything is sent if the query can't run."""
        service = policy.service
        started_at = self._clock.now()
        snapshot = choose_snapshot(self._table.snapshots(service.name), started_at)
        if snapshot.live_shard_count(started_at) < service.least_coverage * snapshot.total:
            live = snapshot.live_shard_count(started_at)
            raise Refused(
                NotRunReason.COVERAGE_UNREACHABLE,
                f"only {live} of {snapshot.total} shards are live",
            )
        template = RequestTemplate(service.name, request_type, body)
        answer = self._scatter(request_id, template, snapshot, policy, deadline_at)
        rerun_snapshot = self._choose_rerun_snapshot(answer, policy, started_at, deadline_at)
        if rerun_snapshot is None:
            return answer
        self._counters.add("extra_load", rerun_snapshot.total, service=service.name, kind="rerun")
        rerun_answer = self._scatter(
            f"{request_id}r", template, rerun_snapshot, policy, deadline_at
        )
        return max(answer, rerun_answer, key=lambda item: item.coverage.share)

    def _scatter(
        self,
        request_id: str,
        template: RequestTemplate,
        snapshot: SnapshotReplicas,
        policy: Policy,
        deadline_at: Milliseconds,
    ) -> Answered:
        scatter = Scatter(
            request_id,
            template,
            snapshot,
            policy,
            deadline_at,
            self._clock,
            self._random,
            self._counters,
            self._directory.note_left,
        )
        return scatter.run()

    def _choose_rerun_snapshot(
        self,
        answer: Answered,
        policy: Policy,
        started_at: Milliseconds,
        deadline_at: Milliseconds,
    ) -> SnapshotReplicas | None:
        """Return the snapshot to rerun an incomplete query on, or `None` if not worthwhile.

        A rerun needs enough time, enough budget and another snapshot with a larger share of live
        shards than the answer covers.
        """
        if not answer.coverage.missing:
            return None
        now = self._clock.now()
        if deadline_at - now < MIN_TIME_SHARE_FOR_RERUN * (deadline_at - started_at):
            return None
        best = choose_snapshot(self._table.snapshots(policy.service.name), now)
        is_same_snapshot = (best.layout, best.version) == (
            answer.snapshot.layout,
            answer.snapshot.version,
        )
        if is_same_snapshot or best.live_shard_count(now) / best.total <= answer.coverage.share:
            return None
        return best if policy.budget.take(best.total) else None


def choose_snapshot(snapshots: Sequence[SnapshotReplicas], now: Milliseconds) -> SnapshotReplicas:
    """Return the snapshot with the largest share of live shards, the newest among equals.

    Raises `Refused` when no layout is known.
    """
    if not snapshots:
        raise Refused(NotRunReason.LAYOUT_UNKNOWN, "no upstream of the service is known")
    return max(snapshots, key=lambda item: (item.live_shard_count(now) / item.total, item.version))
