"""Load pattern: one upstream of a shard remains and receives more requests than it can serve."""

from __future__ import annotations

from collections import deque
from random import Random

import pytest

from fulmarhold.limits.concurrency import MAX_LIMIT, MIN_LIMIT, ConcurrencyLimit

SLOTS, QUEUE = 5, 30
USEFUL_FOR = 250.0


class Upstream:
    """Simulated upstream with slots and a queue, in virtual milliseconds; one limit per entry."""

    def __init__(self, service_time, entries):
        self.service_time, self.entries = service_time, entries
        self.limits = [ConcurrencyLimit() for _ in range(entries)]
        self.open = [0] * entries
        self.queue: deque = deque()
        self.running: list = []
        self.in_time = self.late = self.not_sent = 0

    def step(self, now, arrivals, random, is_limited):
        for done_at, sent_at, entry in [item for item in self.running if item[0] <= now]:
            self.running.remove((done_at, sent_at, entry))
            elapsed = now - sent_at
            self.limits[entry].note_reply(elapsed, USEFUL_FOR, self.open[entry], now)
            self.open[entry] -= 1
            if elapsed <= USEFUL_FOR:
                self.in_time += 1
            else:
                self.late += 1
        for _ in range(arrivals):
            entry = random.randrange(self.entries)
            if is_limited and not self.limits[entry].may_send(
                self.open[entry], now, is_urgent=True
            ):
                self.not_sent += 1
                continue
            if len(self.queue) >= QUEUE:
                # The upstream sheds the request at once, which counts as a late reply.
                self.late += 1
                limit = self.limits[entry]
                limit.note_reply(USEFUL_FOR, USEFUL_FOR, self.open[entry] + 1, now)
                continue
            self.open[entry] += 1
            self.queue.append((now, entry))
        while self.queue and len(self.running) < SLOTS:
            sent_at, entry = self.queue.popleft()
            self.running.append((now + self.service_time, sent_at, entry))


def run(*, service_time, rate, entries, is_limited, seconds=20):
    upstream, random = Upstream(service_time, entries), Random(5)
    due = 0.0
    for now in range(0, seconds * 1_000, 2):
        due += rate * 0.002
        arrivals, due = int(due), due - int(due)
        upstream.step(float(now), arrivals, random, is_limited)
    return upstream


@pytest.mark.parametrize("entries", [3, 9])
def test_overloaded_upstream_replies_in_time_up_to_its_capacity(entries):
    load = {"service_time": 150.0, "rate": 100.0, "entries": entries}
    capacity = 20 * SLOTS * 1_000 / 150
    unlimited = run(**load, is_limited=False)
    limited = run(**load, is_limited=True)
    assert unlimited.in_time < 0.1 * capacity
    assert limited.in_time > 0.5 * capacity
    assert limited.late < limited.in_time


def test_healthy_upstream_is_never_limited():
    healthy = run(service_time=30.0, rate=60.0, entries=9, is_limited=True)
    assert healthy.not_sent == 0 and healthy.late == 0


def test_short_pauses_do_not_limit_an_upstream():
    limit = ConcurrencyLimit()
    for pause_number in range(20):
        start = 6_000.0 * pause_number
        for late in range(3):
            limit.note_reply(300.0, USEFUL_FOR, 3, start + late)
        for reply in range(10):
            limit.note_reply(30.0, USEFUL_FOR, 3, start + 500 + reply)
    assert limit.value == MAX_LIMIT


def test_limit_rises_again_after_an_upstream_recovers():
    limit = ConcurrencyLimit()
    for moment in range(0, 20_000, 400):
        limit.note_reply(400.0, USEFUL_FOR, 1, float(moment))
    assert limit.value == pytest.approx(MIN_LIMIT)
    replies = 0
    while limit.value < 4:
        limit.note_reply(30.0, USEFUL_FOR, 1, 20_000.0 + replies)
        replies += 1
    assert replies < 60


def test_less_urgent_requests_are_limited_first():
    limit = ConcurrencyLimit()
    for moment in (0, 1, 500):
        limit.note_reply(400.0, USEFUL_FOR, 8, float(moment))
    assert limit.value == 4.0
    assert limit.may_send(3, 0.0, is_urgent=True)
    assert not limit.may_send(3, 0.0, is_urgent=False)
