"""An upstream runs as many requests as it has slots, queues a few and refuses the others."""

from __future__ import annotations

from random import Random

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.platform.encoding import write_request
from fulmarhold.soak.kinds import SLOW
from fulmarhold.soak.observations import NEVER, Observations
from fulmarhold.soak.upstream import QUEUED, SLOW_SLOTS, SoakUpstream

WORK = 40.0
ADDRESS = ("127.77.0.1", 8300)


@pytest.fixture
def upstream():
    observations = Observations(Clock())
    upstream = SoakUpstream(
        SLOW.name,
        ADDRESS,
        f"{ADDRESS[0]}:{ADDRESS[1]}",
        "a",
        list,
        1_000.0,
        observations,
        Random(1),
    )
    upstream.work = WORK
    yield upstream
    upstream.crash()


def send(number):
    with gevent.socket.create_connection(ADDRESS, timeout=5) as connection:
        connection.sendall(write_request("GET", "h", "/slow/1", f"r{number}", 5_000.0))
        return connection.recv(65_536).split(b" ")[1:2]


def test_upstream_never_runs_more_than_its_slots_and_refuses_what_it_cannot_queue(upstream):
    sent = [gevent.spawn(send, number) for number in range(SLOW_SLOTS + QUEUED + 3)]
    gevent.joinall(sent, raise_error=True)
    statuses = sorted(item.value for item in sent)
    assert statuses == [[b"200"]] * (SLOW_SLOTS + QUEUED) + [[b"503"]] * 3
    runs = [run for runs in upstream._observations.runs.values() for run in runs]
    assert len(runs) == SLOW_SLOTS + QUEUED
    for run in runs:
        beside = [other for other in runs if other.started_at <= run.started_at < other.until]
        assert len(beside) <= SLOW_SLOTS and run.at <= run.started_at < run.until


def test_upstream_says_that_it_leaves_and_asks_for_pauses(upstream):
    upstream.is_leaving = True
    assert send(1) == [b"200"]
    (reply,) = upstream._observations.upstream_replies.values()
    assert reply.leaving == upstream.statement.name
    upstream.pausing_until = upstream._clock.now() + 60_000.0
    assert send(2) in ([b"429"], [b"503"])
    (pause,) = upstream._observations.pause_answers
    assert (pause.request_id, pause.place) == ("r2", f"place-{ADDRESS[0]}")
    assert "r2" not in upstream._observations.runs


def test_upstream_that_crashes_breaks_off_what_runs_and_what_waits(upstream):
    upstream.work = 1_000.0
    sent = [gevent.spawn(send, number) for number in range(SLOW_SLOTS + 1)]
    gevent.sleep(0.05)
    upstream.crash()
    gevent.joinall(sent, timeout=1, raise_error=False)
    runs = [run for runs in upstream._observations.runs.values() for run in runs]
    assert [run.broke_off for run in runs] == [True] * (SLOW_SLOTS + 1)
    assert [run.started_at == NEVER for run in runs].count(True) == 1
