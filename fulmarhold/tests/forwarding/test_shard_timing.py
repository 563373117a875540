"""Guards against partial answers that reach the caller after the target latency.

Load pattern: one shard replies too late for every query, and callers are near or far.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fulmarhold.forwarding.shard_timing import MIN_WAIT, TARGET_RESERVE, partial_answer_at

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
