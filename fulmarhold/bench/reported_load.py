"""Whether callers gain if entries add the load that upstreams report to what they see themselves.

A pure simulation in virtual time: entries choose among the replicas of one shard by
`Replica.expected_latency`. With a weight above zero, the waiting requests that the last answer
of a replica reported are added as the time they take, decayed by the age of the report. Upstreams
renew what they report every `lag` ms. Run with `python -m fulmarhold.bench.reported_load`.
"""

from __future__ import annotations

import heapq
from collections import deque
from itertools import count, product
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from fulmarhold.observe.estimates import QuantileEstimate
from fulmarhold.routing.replica import Replica

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

SLOTS, SERVICE, REPLICAS, ENTRIES = 5, 30.0, 3, 16
DURATION: Milliseconds = 60_000.0
# Each upstream takes 2.5 times as long for 0.6 s of every 3.6 s, at its own time.
NOISE_PERIOD, NOISE_LENGTH, NOISE_FACTOR = 3_600.0, 600.0, 2.5
EJECTION: Milliseconds = 1_000.0


class Signal(NamedTuple):
    """How much a report counts, and the time in which its weight halves."""

    weight: float
    half_life: Milliseconds


class Shard:
    """The replicas of a shard as upstreams with slots and a queue, and as entries see them."""

    def __init__(self, signal: Signal, load: float, lag: Milliseconds, seed: int) -> None:
        self._signal, self._lag, self._random = signal, lag, Random(seed)
        self._rate = load * REPLICAS * SLOTS / SERVICE
        self._pools = [[SimpleNamespace(load=0) for _ in range(REPLICAS)] for _ in range(ENTRIES)]
        self._views: list[list[Replica]] = [
            [_make_replica(pool, number) for number, pool in enumerate(pools)]
            for pools in self._pools
        ]
        # What each upstream reports, and when it last worked that out.
        self._published = [(0, 0.0)] * REPLICAS
        # The last report of each replica that an entry has read, and when it has.
        self._reports = [[(0, 0.0)] * REPLICAS for _ in range(ENTRIES)]
        self._waiting: list[deque[tuple[Milliseconds, int]]] = [deque() for _ in range(REPLICAS)]
        self._running = [0] * REPLICAS
        self.latencies: list[Milliseconds] = []

    def run(self) -> list[Milliseconds]:
        """Return the latencies of all requests, in ascending order."""
        order, events = count(), [(0.0, 0, -1, 0, 0.0)]
        while events:
            now, _, replica, entry, sent_at = heapq.heappop(events)
            if replica < 0:
                replica = self._send(now)
                if now < DURATION:
                    arrival = now + self._random.expovariate(self._rate)
                    heapq.heappush(events, (arrival, next(order), -1, 0, 0.0))
            else:
                self._receive(replica, entry, now - sent_at, now)
            while self._waiting[replica] and self._running[replica] < SLOTS:
                sent_at, entry = self._waiting[replica].popleft()
                self._running[replica] += 1
                end = now + self._service_time(replica, now)
                heapq.heappush(events, (end, next(order), replica, entry, sent_at))
        return sorted(self.latencies)

    def _send(self, now: Milliseconds) -> int:
        entry = self._random.randrange(ENTRIES)
        replica = min(range(REPLICAS), key=lambda item: self._expected(entry, item, now))
        self._pools[entry][replica].load += 1
        self._waiting[replica].append((now, entry))
        return replica

    def _receive(self, replica: int, entry: int, latency: Milliseconds, now: Milliseconds) -> None:
        self._running[replica] -= 1
        self._pools[entry][replica].load -= 1
        self._views[entry][replica].note_success(latency, now)
        if now - self._published[replica][1] >= self._lag:
            self._published[replica] = len(self._waiting[replica]), now
        self._reports[entry][replica] = self._published[replica][0], now
        self.latencies.append(latency)

    def _expected(self, entry: int, replica: int, now: Milliseconds) -> Milliseconds:
        waiting, reported_at = self._reports[entry][replica]
        decay = 0.5 ** ((now - reported_at) / self._signal.half_life)
        reported = self._signal.weight * decay * waiting / SLOTS * SERVICE
        return self._views[entry][replica].expected_latency(now) + reported

    def _service_time(self, replica: int, now: Milliseconds) -> Milliseconds:
        offset = replica * NOISE_PERIOD / REPLICAS
        is_slow = (now + offset) % NOISE_PERIOD < NOISE_LENGTH
        usual = SERVICE * self._random.lognormvariate(0.0, 0.35)
        return usual * NOISE_FACTOR if is_slow else usual


def _make_replica(pool: Any, number: int) -> Replica:
    record = SimpleNamespace(address=str(number), incarnation=1, slots=SLOTS)
    upstream = SimpleNamespace(record=record, is_live=lambda _: True)
    replica: Replica = Replica(cast("Any", upstream), pool, EJECTION, 0.0)
    replica.typical_latency = QuantileEstimate(0.5, SERVICE)
    return replica


def main() -> None:
    """Print mean and 99th percentile of the latency for each load, lag and signal."""
    signals = [Signal(0.0, 1.0), *map(Signal._make, product((0.5, 1.0), (50.0, 200.0)))]
    for load, lag in product((0.4, 0.55, 0.7), (0.0, 100.0, 300.0, 1_000.0)):
        for signal in signals:
            runs = [Shard(signal, load, lag, seed).run() for seed in range(3)]
            mean = sum(sum(run) / len(run) for run in runs) / len(runs)
            high = sum(run[int(0.99 * len(run))] for run in runs) / len(runs)
            print(
                f"load {load:.2f} lag {lag:3.0f} weight {signal.weight:.1f} half-life "
                f"{signal.half_life:3.0f}: mean {mean:6.1f} p99 {high:6.1f} ms"
            )


if __name__ == "__main__":
    main()
