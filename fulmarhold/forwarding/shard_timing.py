"""Decides how long a query over shards waits for its last parts.

An answer's value grows with the square of its share of the parts, and is very low once the answer
is late. So the query waits for all parts until shortly before the target latency. If it has the
required share of the parts then, it sends a partial answer. Otherwise it waits on, since an answer
below the required share has no value.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

# Allows for wake-up delays on both sides and the variation of the round trip to the caller.
TARGET_RESERVE: Milliseconds = 6.0
# Round trips of a caller before its first request on a connection: one to connect, and on average
# one more, since some callers first query the directory (two round trips) and others don't.
TRIPS_TO_CONNECT = 2
# Used where the kernel reports no round trip time; that of a caller in the same region.
DEFAULT_ROUND_TRIP: Milliseconds = 6.0
# The query waits at least this long, however short the target latency.
MIN_WAIT: Milliseconds = 10.0
# Once this share of the parts has arrived, the others are stragglers, because a request takes about
# the same time at every shard.
STRAGGLER_SHARE = 0.7
# How much later than the others a part may arrive before it is hedged: a fixed margin for the
# network and the event loop, and a share of the elapsed time for upstreams that differ in speed.
STRAGGLER_MARGIN: Milliseconds = 4.0
STRAGGLER_FACTOR = 0.1
# A hedge sent this long before the useful time ends, in multiples of the usual latency, is in time
# even if it takes longer than usual, plus the way to another data centre and back.
HEDGE_TIME_FACTOR = 1.5
HEDGE_DISTANCE: Milliseconds = 15.0
# How much later a part arrives through a collector: its wait for most of the others, one more
# process on the way, and the merging.
COLLECTION_DELAY: Milliseconds = 20.0
# The average size of a part from which on merging saves more than the delay costs. Queries for a
# few small records have short targets, and most of their bytes are heads.
MIN_COLLECTED_BYTES = 512


def partial_answer_at(
    received_at: Milliseconds,
    target: Milliseconds,
    round_trip: Milliseconds,
    is_first: bool,
) -> Milliseconds:
    """Return when to send a partial answer with the required share rather than wait for more.

    `round_trip` is the round trip time to the caller, zero if unknown; `is_first` tells that the
    caller had to connect for this request.

    >>> partial_answer_at(0.0, 112.0, 6.0, False), partial_answer_at(0.0, 112.0, 14.0, True)
    (100.0, 64.0)
    """
    trips = 1 + (TRIPS_TO_CONNECT if is_first else 0)
    reserve = TARGET_RESERVE + trips * (round_trip or DEFAULT_ROUND_TRIP)
    return received_at + max(MIN_WAIT, target - reserve)


def straggler_hedge_delay(
    elapsed: Milliseconds, expected: Milliseconds, expected_of_others: Milliseconds
) -> Milliseconds:
    """Return how much longer to wait for a part before it is hedged.

    Most parts have arrived after `elapsed`. `expected` is the latency of the upstream in question,
    `expected_of_others` that of the upstreams that have replied, which may be nearer.

    >>> straggler_hedge_delay(14.0, expected=20.0, expected_of_others=11.0)
    14.4
    """
    distance = max(0.0, expected - expected_of_others)
    return round(distance + STRAGGLER_MARGIN + STRAGGLER_FACTOR * elapsed, 3)


def latest_timely_hedge(useful_until: Milliseconds, usual_latency: Milliseconds) -> Milliseconds:
    """Return the last moment at which a hedge is still likely to be in time.

    `usual_latency` is what nearly all replies take. A straggler that is hedged earlier mostly
    replies in time by itself: the hedge then only loads an upstream, often in another data centre,
    and takes from the budget what a query needs whose upstream pauses.

    >>> latest_timely_hedge(useful_until=285.0, usual_latency=60.0)
    180.0
    """
    return useful_until - HEDGE_TIME_FACTOR * usual_latency - HEDGE_DISTANCE


def is_worth_collecting(
    useful_for: Milliseconds, typical_latency: Milliseconds, part_bytes: float
) -> bool:
    """Whether collectors save enough bytes, and leave time for a hedge after a late collection.

    `useful_for` is how long the query may take; `typical_latency` is the median latency and
    `part_bytes` the average size of its parts.

    >>> is_worth_collecting(285.0, 70.0, 1_000.0), is_worth_collecting(285.0, 70.0, 100.0)
    (True, False)
    """
    collection = typical_latency + COLLECTION_DELAY
    hedge = HEDGE_TIME_FACTOR * typical_latency + HEDGE_DISTANCE
    return part_bytes >= MIN_COLLECTED_BYTES and collection + hedge <= useful_for


def required_parts(share: float, total: int) -> int:
    """Return the number of parts that make up `share` of `total`, at least one.

    >>> required_parts(0.89, 10), required_parts(0.75, 10), required_parts(0.0, 10)
    (9, 8, 1)
    """
    needed = max(1, int(share * total))
    # Uses the callers' own comparison, so that rounding never admits an answer below the share.
    while needed / total < share:
        needed += 1
    return needed
