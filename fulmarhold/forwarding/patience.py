"""How long a query over shards waits for its last parts.

An answer earns by the square of its share of parts, and very little once it is late. So all parts
are waited for until the target latency is about to pass; a partial answer that holds the least
share asked for leaves then, and one below it waits on, since before that nothing counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

# Wake-ups of both sides and what the trip to the caller and back varies by.
TARGET_RESERVE: Milliseconds = 6.0
# Trips that a caller has made before its first request on a connection: one to connect, and one
# more on average for those that had to ask the directory first (two trips) and those that had not.
TRIPS_TO_CONNECT = 2
# A caller in the same region, where the kernel does not tell.
USUAL_ROUND_TRIP: Milliseconds = 6.0
# However short the target, the first replies are given this long.
LEAST_PATIENCE: Milliseconds = 10.0
# Once this share of the parts is in, the others are stragglers: a request takes about the same
# time at every shard.
STRAGGLER_SHARE = 0.7
# How much later than the others a part may come before it counts as late: a fixed part for the
# network and the event loop, and a share of the time so far for upstreams that differ in speed.
STRAGGLER_MARGIN: Milliseconds = 4.0
STRAGGLER_FACTOR = 0.1


def partial_answer_at(
    received_at: Milliseconds,
    target: Milliseconds,
    round_trip: Milliseconds,
    is_first: bool,
) -> Milliseconds:
    """Return from when on an answer with the least share of parts is better than a later one.

    `round_trip` is that to the caller, zero where unknown; `is_first` tells that the caller had to
    connect for this request.

    >>> partial_answer_at(0.0, 112.0, 6.0, False), partial_answer_at(0.0, 112.0, 14.0, True)
    (100.0, 64.0)
    """
    trips = 1 + (TRIPS_TO_CONNECT if is_first else 0)
    reserve = TARGET_RESERVE + trips * (round_trip or USUAL_ROUND_TRIP)
    return received_at + max(LEAST_PATIENCE, target - reserve)


def straggler_hedge_delay(
    elapsed: Milliseconds, expected: Milliseconds, expected_of_others: Milliseconds
) -> Milliseconds:
    """Return how much longer to wait for a part before it is asked of another upstream.

    Most parts are in after `elapsed`; the expected latencies are those of the upstream in question
    and of those that have replied, which may be nearer.

    >>> straggler_hedge_delay(14.0, expected=20.0, expected_of_others=11.0)
    14.4
    """
    distance = max(0.0, expected - expected_of_others)
    return round(distance + STRAGGLER_MARGIN + STRAGGLER_FACTOR * elapsed, 3)


def least_parts(share: float, total: int) -> int:
    """Return how many of `total` parts make up `share`, at least one.

    >>> least_parts(0.89, 10), least_parts(0.75, 10), least_parts(0.0, 10)
    (9, 8, 1)
    """
    needed = max(1, int(share * total))
    # Compared as the callers do, so that rounding never admits an answer below the share.
    while needed / total < share:
        needed += 1
    return needed
