"""Entries that pace their requests to upstreams with slots and a queue, in virtual milliseconds."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

from fulmarhold.limits.pace import Pace, PaceReason

SLOTS, QUEUE, SERVICE = 5, 30, 30.0


class PacedFleet:
    """`service(upstream, now)` gives the usual service time; `errors` names those that fail fast.

    A request goes to the upstream with room that has the fewest open requests of its entry. Without
    any room it is refused, or goes to one that is merely slow, as in calls of a shard.
    """

    def __init__(self, entries, upstreams, service=lambda *_: SERVICE, errors=(), paced=()):
        self.random = Random(3)
        self.service, self.errors = service, errors
        self.paces = [
            [Pace(SLOTS, entries, self.random.random()) for _ in range(upstreams)]
            for _ in range(entries)
        ]
        self.open = [[0] * upstreams for _ in range(entries)]
        self.queues: list = [[] for _ in range(upstreams)]
        self.running = [0] * upstreams
        self.served, self.refused, self.waits = [], [], []
        self.longest_queue = 0
        self.now = 0.0
        self.events: list = []
        self.order = count()
        for upstream in paced:
            self.restart(upstream)

    def restart(self, upstream, reason=PaceReason.STARTED):
        for paces in self.paces:
            paces[upstream].restart(reason, SERVICE, self.now)

    def run(self, rate, seconds):
        until, events, order = self.now + 1e3 * seconds, self.events, self.order
        for number in range(int(rate * seconds)):
            heapq.heappush(events, (self.now + number * 1e3 / rate, next(order), None))
        while events and events[0][0] < until:
            self.now, _, done = heapq.heappop(events)
            upstream = self._arrive() if done is None else self._complete(*done)
            while upstream is not None and self.queues[upstream] and self.running[upstream] < SLOTS:
                sent_at, entry = self.queues[upstream].pop(0)
                self.running[upstream] += 1
                is_error = upstream in self.errors
                took = self.service(upstream, self.now) * self.random.lognormvariate(0.0, 0.3)
                self.waits.append(self.now - sent_at)
                end = self.now + (1.0 if is_error else took)
                heapq.heappush(events, (end, next(order), (upstream, sent_at, entry)))
        self.now = until
        return self

    def _arrive(self):
        entry = self.random.randrange(len(self.paces))
        paces, opened = self.paces[entry], self.open[entry]
        with_room = [item for item, pace in enumerate(paces) if pace.has_room(self.now)]
        usable = with_room or [i for i, pace in enumerate(paces) if not pace.is_held_back]
        if not usable:
            self.refused.append(self.now)
            return None
        upstream = min(usable, key=lambda item: (opened[item], self.random.random()))
        paces[upstream].note_sent(self.now)
        if len(self.queues[upstream]) >= QUEUE:
            paces[upstream].note_failure(self.now)
            self.refused.append(self.now)
            return None
        opened[upstream] += 1
        self.queues[upstream].append((self.now, entry))
        self.longest_queue = max(self.longest_queue, len(self.queues[upstream]))
        return upstream

    def _complete(self, upstream, sent_at, entry):
        self.running[upstream] -= 1
        self.open[entry][upstream] -= 1
        pace, latency = self.paces[entry][upstream], self.now - sent_at
        if upstream in self.errors:
            pace.note_failure(self.now, latency)
        else:
            pace.note_success(latency, SERVICE, self.now)
            self.served.append((self.now, upstream))
        return upstream

    def share(self, upstream):
        """The mean share of an upstream's slots that entries use."""
        return sum(paces[upstream].share for paces in self.paces) / len(self.paces)

    def served_since(self, since, upstream=None):
        return sum(at >= since and upstream in (None, to) for at, to in self.served)
