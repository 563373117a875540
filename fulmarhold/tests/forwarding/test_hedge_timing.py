"""Guards against hedges for replies that are on their way in time.

Load pattern: queries over many shards whose replies vary in latency, and whose upstreams pause now
and then. The last of many replies is always late beside the others, and hedging it sends much of
the load twice, mostly to other data centres.
"""

from __future__ import annotations

from random import Random

import pytest

from fulmarhold.forwarding.shard_timing import (
    STRAGGLER_SHARE,
    latest_timely_hedge,
    straggler_hedge_delay,
)

QUERIES = 400
# The variation of replies, as the standard deviation of the logarithm.
SPREAD = 0.35
TRIP_ELSEWHERE = 9.0


def reply_latency(random, mean, pause, period):
    """Return the latency of one reply of an upstream that stops for `pause` ms each period."""
    into_period = random.uniform(0.0, period)
    return max(0.0, pause - into_period) + mean * random.lognormvariate(0.0, SPREAD)


def play(random, shards, mean, pause, period, useful_until):
    """Return the number of hedges of one query, and whether every part is in time."""
    usual = mean * 1.7
    replies = sorted(reply_latency(random, mean, pause, period) for _ in range(shards))
    most_in_at = replies[int(STRAGGLER_SHARE * shards)]
    delay = straggler_hedge_delay(most_in_at, expected=mean, expected_of_others=mean)
    hedge_at = max(most_in_at + delay, latest_timely_hedge(useful_until, usual))
    late = [reply for reply in replies if reply > hedge_at]
    hedged = [
        min(reply, hedge_at + TRIP_ELSEWHERE + reply_latency(random, mean, pause, period))
        for reply in late
    ]
    return len(late), all(moment <= useful_until for moment in hedged)


@pytest.mark.parametrize(
    ("shards", "mean", "pause", "period", "useful_until"),
    [
        (42, 28.0, 250.0, 6_000.0, 285.0),
        (42, 9.2, 250.0, 6_000.0, 100.0),
        (36, 7.5, 100.0, 2_400.0, 100.0),
        (10, 2.5, 100.0, 2_400.0, 52.0),
    ],
)
def test_only_pausing_upstreams_are_hedged_and_queries_are_in_time(
    shards, mean, pause, period, useful_until
):
    random = Random(7)
    outcomes = [play(random, shards, mean, pause, period, useful_until) for _ in range(QUERIES)]
    hedges = sum(count for count, _ in outcomes) / (QUERIES * shards)
    paused = pause / period
    assert hedges < 1.3 * paused
    # A query misses the target if a hedge meets a paused upstream too.
    unavoidable = 1 - (1 - paused**2) ** shards
    in_time = sum(is_in_time for _, is_in_time in outcomes) / QUERIES
    assert in_time > 1 - 2 * unavoidable
