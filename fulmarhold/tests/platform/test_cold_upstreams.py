"""Load: callers of two entries want three times what their only upstream bears while it is cold."""

from __future__ import annotations

import time

import gevent

from fulmarhold.tests.platform.fleet import (
    ENTRIES,
    configuration,
    put_configuration,
    read_metrics,
    send_request,
    wait_for,
    wait_for_status,
)

WARM_UP_MS = 6_000
# 5 requests a second, with the default overage and slack.
BOUND = 5 * 1.5 + 5


def test_an_upstream_that_turns_cold_gets_no_more_than_it_bears(fleet, upstreams):
    upstream = upstreams[0]
    document = configuration(3)
    document["services"][0].update(warmupS=2, warmupPerS=5)
    assert put_configuration(document).status == 200
    assert wait_for(upstream.send_heartbeat, lambda answer: answer.status == 200)
    for entry in ENTRIES:
        wait_for_status(entry)

    upstream.send_heartbeat(warm_up=WARM_UP_MS)
    for entry in ENTRIES:
        wait_for(
            lambda to=entry: read_metrics(to),
            lambda metrics: "fulmarhold_entry_upstreams_cold 1.0" in metrics,
        )
    # What was sent before must not count.
    gevent.sleep(0.3)
    known_at, statuses = time.monotonic(), []
    while time.monotonic() < known_at + 3.5:
        answers = [gevent.spawn(send_request, entry) for entry in ENTRIES]
        gevent.joinall(answers, timeout=5)
        statuses += [(answer.value[0], "retry-after" in answer.value[1]) for answer in answers]
        gevent.sleep(0.05)
    arrived = [at for at in upstream.arrived_at if at >= known_at]
    most = max(sum(start <= at < start + 1 for at in arrived) for start in arrived)
    assert most <= BOUND
    assert set(statuses) == {(200, False), (503, True)}

    for entry in ENTRIES:
        wait_for(
            lambda to=entry: [send_request(to)[0] for _ in range(15)],
            lambda found: found == [200] * 15,
        )
