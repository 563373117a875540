"""A collector without network: its upstreams are scripted pools, and replies arrive later."""

from __future__ import annotations

from random import Random

import gevent

from fulmarhold.clock import Clock
from fulmarhold.collecting.collector import CollectorService
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.events import EventLog
from fulmarhold.tests.forwarding.scripted import (
    ScriptedCodec,
    ScriptedPool,
    make_replica,
)

AWAY = "b"
WAY_MS = 2.0


class RemotePool(ScriptedPool):
    """The asking entry's own connections to an upstream in another data centre."""

    data_centre = AWAY


class ScriptedTable:
    """The upstreams beside a collector, by name."""

    def __init__(self, pools):
        self.replicas = {pool.address: make_replica(pool) for pool in pools}
        self.evacuated = set()

    def find(self, name):
        return None if name in self.evacuated else self.replicas.get(name)

    def is_evacuated(self, name):
        return name in self.evacuated


class ScriptedReplies:
    """Delivers replies after the way between the data centres, unless the link is cut."""

    def __init__(self, receiver, collector):
        self.receiver, self.collector = receiver, collector
        self.has_ended = False

    def send(self, reply, *, is_last=False):
        self.has_ended = self.has_ended or is_last
        self.collector.replies.append(reply)
        gevent.spawn_later(WAY_MS / 1e3, self._deliver, reply)

    def end(self):
        self.has_ended = True

    def _deliver(self, reply):
        if not self.collector.is_cut and self in self.collector.open:
            self.receiver.replied(reply)


class ScriptedCollector:
    """A collector beside `pools`; `cut` loses it with everything that is under way."""

    name = "entry-b"

    def __init__(self, pools):
        self.counters = Counters()
        clock = Clock()
        self.table = ScriptedTable(pools)
        self.service = CollectorService(
            self.table, ScriptedCodec(), clock, Random(1), self.counters,
            EventLog("test", clock, self.counters),
        )  # fmt: skip
        self.requests, self.replies, self.open, self.cancellations = [], [], [], []
        self.is_cut = False

    def ask(self, request, receiver):
        self.requests.append(request)
        replies = ScriptedReplies(receiver, self)
        self.open.append(replies)
        stream = ScriptedStream(self, replies)
        gevent.spawn_later(WAY_MS / 1e3, stream.start, request)
        return stream

    def cut(self):
        """Lose the connection and the collector."""
        self.is_cut = True
        for replies in self.open:
            replies.receiver.lost("connection closed")


class ScriptedStream:
    def __init__(self, collector, replies):
        self.collector, self.replies, self.work = collector, replies, None

    def start(self, request):
        if not self.collector.is_cut and self.replies in self.collector.open:
            self.work = self.collector.service.open(request, self.replies)

    def cancel(self, *, keep_work):
        self.collector.open.remove(self.replies)
        self.collector.cancellations.append(keep_work)
        if self.work is not None:
            self.work.cancel(keep_work=keep_work)


def split_shards(local, remote):
    """Return shards at home and elsewhere, and the pools beside the collector by shard."""
    shards = {f"l{n}": [ScriptedPool(f"l{n}-0")] for n in range(local)}
    beside = {}
    for n in range(remote):
        shards[f"r{n}"] = [RemotePool(f"r{n}-0")]
        beside[f"r{n}"] = ScriptedPool(f"r{n}-0")
    return shards, beside


class Suspensions:
    """Measures how long this process could not run, which no query can make up for.

    `total` is in milliseconds. A machine with more work than processors delays timers by tens of
    milliseconds, as the bounds on time in these tests do not allow for.
    """

    TICK_MS = 2.0

    def __init__(self):
        self.total = 0.0
        self._clock = Clock()
        self._tick_started_at = self._clock.now()
        self._greenlet = gevent.spawn(self._measure)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        # A hold-up in the tick that is under way delays what was measured as well.
        self.total += max(0.0, self._excess)
        self._greenlet.kill()

    def _measure(self):
        while True:
            self._tick_started_at = self._clock.now()
            gevent.sleep(self.TICK_MS / 1e3)
            self.total += self._excess

    @property
    def _excess(self):
        """How much longer the tick that is under way has lasted than it should."""
        return self._clock.now() - self._tick_started_at - self.TICK_MS
