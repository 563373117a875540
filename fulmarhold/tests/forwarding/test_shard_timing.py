"""Guards against partial answers that reach the caller after the target latency.

Load pattern: one shard replies too late for every query, and callers are near or far.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fulmarhold.forwarding.shard_timing import (
    MIN_WAIT,
    TARGET_RESERVE,
    is_worth_collecting,
    partial_answer_at,
)

TARGET = 112.0


@pytest.mark.parametrize("round_trip", [6.4, 13.8])
def test_a_partial_answer_reaches_near_and_far_callers_within_the_target(round_trip):
    sent_at = partial_answer_at(0.0, TARGET, round_trip, is_first=False)
    assert sent_at + round_trip <= TARGET - TARGET_RESERVE / 2


def test_a_caller_that_had_to_connect_gets_its_answer_within_the_target_too():
    round_trip = 6.4
    sent_at = partial_answer_at(0.0, TARGET, round_trip, is_first=True)
    assert round_trip + sent_at + round_trip <= TARGET


@given(st.floats(0, 200), st.floats(0, 500), st.booleans())
def test_the_query_waits_for_shards_however_far_the_caller(target, round_trip, is_first):
    assert partial_answer_at(50.0, target, round_trip, is_first) >= 50.0 + MIN_WAIT


@pytest.mark.parametrize(
    ("useful_for", "typical", "part_bytes", "collects"),
    [
        # A search for 50 records with a target of 300 ms, usually and while upstreams are slow.
        (285.0, 50.0, 1_000.0, True),
        (285.0, 80.0, 1_000.0, True),
        (285.0, 120.0, 1_000.0, False),
        # The same before the size of its parts is known.
        (285.0, 50.0, 0.0, False),
        # Urgent look-ups of a few small records, with targets of 115 and 65 ms.
        (104.0, 16.0, 100.0, False),
        (102.0, 12.0, 200.0, False),
        (52.0, 8.0, 100.0, False),
        # Large parts with a short target.
        (100.0, 40.0, 4_000.0, False),
    ],
)
def test_only_large_parts_that_can_afford_a_late_collection_are_collected(
    useful_for, typical, part_bytes, collects
):
    assert is_worth_collecting(useful_for, typical, part_bytes) is collects
